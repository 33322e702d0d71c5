package stream

import (
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A copyItem extends the replica of one request.
type copyItem struct {
	ID wick.RequestID `cbor:"id"`
	// Head is nil when the replica already has it.
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
	// Incarnation is the sender's, so that the receiver can detect its restart.
	Incarnation wick.Incarnation `cbor:"incarnation"`
	Items       []copyItem       `cbor:"items"`
}

// A copyResult is the replica's reply to one item.
type copyResult struct {
	// Have is the number of events that the replica has.
	Have int `cbor:"have"`
	// NeedHead is set when the receiver does not have the request.
	NeedHead bool `cbor:"needHead,omitempty"`
	// Running is set when the receiver runs the request itself.
	Running bool `cbor:"taken,omitempty"`
	// Full is set when the receiver rejects new replicas because its table is
	// full or it drains.
	Full bool `cbor:"full,omitempty"`
	// Final is set when the replica has the final state.
	Final bool `cbor:"final,omitempty"`
}

// A copyReply has one result per item.
type copyReply struct {
	Results []copyResult `cbor:"results"`
}

// A handoverBody requests that a replica's entry runs the request. Copies have
// brought the replica up to date before, so that the message stays small.
type handoverBody struct {
	ID     wick.RequestID `cbor:"id"`
	Events int            `cbor:"events"`
	Digest uint64         `cbor:"digest"`
	KV     wick.KVHandle  `cbor:"kv,omitempty"`
}

// A handoverReply reports whether the receiver runs the request now.
type handoverReply struct {
	Accepted bool `cbor:"taken"`
}

// A fetchBody requests the events after a cursor.
type fetchBody struct {
	ID        wick.RequestID `cbor:"id"`
	Customer  wick.Customer  `cbor:"customer"`
	Events    int            `cbor:"events"`
	Digest    uint64         `cbor:"digest"`
	HasDigest bool           `cbor:"checked"`
	// WaitMillis is how long the reply may wait for an event.
	WaitMillis wick.Millis `cbor:"waitMillis"`
}

// A fetchReply returns events, the end, or the entry to poll next.
type fetchReply struct {
	// Found is false if the request is unknown or of another customer.
	Found bool `cbor:"found"`
	// Waiting is set when the receiver only has a replica that may take over.
	Waiting bool `cbor:"waiting,omitempty"`
	// Successor is the entry that runs the request after a handover.
	Successor wick.EntryID `cbor:"successor,omitempty"`
	Texts     []string     `cbor:"texts,omitempty"`
	// Digest is the digest of all events up to the last of Texts.
	Digest uint64 `cbor:"digest"`
	// Before is the digest of the events before Texts.
	Before  uint64          `cbor:"before"`
	Info    Info            `cbor:"info"`
	End     *wick.Generated `cbor:"end,omitempty"`
	Failure *wireFailure    `cbor:"failure,omitempty"`
}

// limitTexts returns the longest prefix of texts within the byte limit, but at
// least one text.
func limitTexts(texts []string, bytes int64) []string {
	for idx, text := range texts {
		bytes -= int64(len(text)) + textOverhead
		if bytes < 0 && idx > 0 {
			return texts[:idx]
		}
	}
	return texts
}
