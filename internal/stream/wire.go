package stream

import (
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A copyItem extends the replica of one request.
type copyItem struct {
	ID wick.RequestID `cbor:"id"`
	// Head is nil when the replica has it already.
	Head *Head `cbor:"head,omitempty"`
	// After is the number of events before Texts.
	After int      `cbor:"after"`
	Texts []string `cbor:"texts,omitempty"`
	// MaybeRan is set when an attempt may have run.
	MaybeRan bool `cbor:"maybeRan,omitempty"`
	// End or Failure is set when the request is final after Texts.
	End     *wick.Generated `cbor:"end,omitempty"`
	Failure *wireFailure    `cbor:"failure,omitempty"`
}

// size estimates the encoded size.
func (itm *copyItem) size() int64 {
	num := int64(itemOverhead)
	if itm.Head != nil {
		num += itm.Head.inputBytes() + itemOverhead
	}
	for _, text := range itm.Texts {
		num += int64(len(text)) + textOverhead
	}
	return num
}

// A copyBody is the body of a streamCopy.
type copyBody struct {
	// Incarnation is the sender's, so that its restart is noticed.
	Incarnation wick.Incarnation `cbor:"incarnation"`
	Items       []copyItem       `cbor:"items"`
}

// A copyResult is the replica's answer to one item.
type copyResult struct {
	// Have is the number of events that the replica has.
	Have int `cbor:"have"`
	// NeedHead is set when the replica does not know the request.
	NeedHead bool `cbor:"needHead,omitempty"`
	// Running is set when the receiver runs the request itself.
	Running bool `cbor:"taken,omitempty"`
	// Full is set when the receiver has no room.
	Full bool `cbor:"full,omitempty"`
	// Final is set when the replica has the final state.
	Final bool `cbor:"final,omitempty"`
}

// A copyReply has one result per item.
type copyReply struct {
	Results []copyResult `cbor:"results"`
}

// A handoverBody asks a replica to run a request. The replica was brought up to
// date by copies before, so that the message stays small.
type handoverBody struct {
	ID     wick.RequestID `cbor:"id"`
	Events int            `cbor:"events"`
	Digest uint64         `cbor:"digest"`
	KV     wick.KVHandle  `cbor:"kv,omitempty"`
}

// A handoverReply tells whether the receiver runs the request now.
type handoverReply struct {
	Accepted bool `cbor:"taken"`
}

// A fetchBody asks for the events after a cursor.
type fetchBody struct {
	ID       wick.RequestID `cbor:"id"`
	Customer wick.Customer  `cbor:"customer"`
	Events   int            `cbor:"events"`
	Digest   uint64         `cbor:"digest"`
	Checked  bool           `cbor:"checked"`
	// WaitMillis is how long the reply may wait for an event.
	WaitMillis wick.Millis `cbor:"waitMillis"`
}

// A fetchReply returns events, the end, or where to ask next.
type fetchReply struct {
	// Found is false if the request is unknown or of another customer.
	Found bool `cbor:"found"`
	// Waiting is set when the receiver only holds a replica that may take
	// over.
	Waiting bool `cbor:"waiting,omitempty"`
	// Successor runs the request after a handover.
	Successor wick.EntryID `cbor:"successor,omitempty"`
	Texts     []string     `cbor:"texts,omitempty"`
	// Digest identifies all events up to the last of Texts.
	Digest uint64 `cbor:"digest"`
	// Before identifies the events before Texts.
	Before  uint64          `cbor:"before"`
	Info    Info            `cbor:"info"`
	End     *wick.Generated `cbor:"end,omitempty"`
	Failure *wireFailure    `cbor:"failure,omitempty"`
}

// limitTexts returns the longest prefix of texts within the bytes, at least one.
func limitTexts(texts []string, bytes int64) []string {
	for idx, text := range texts {
		bytes -= int64(len(text)) + textOverhead
		if bytes < 0 && idx > 0 {
			return texts[:idx]
		}
	}
	return texts
}
