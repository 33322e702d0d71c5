package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A meta is the metadata of an object.
type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

// An object is one object of the store.
type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// A change is one event of a watch.
type change struct {
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
	kind    string
	rev     uint64
}

// A store is a stand-in of the platform's metadata store as PROTOCOL.md describes it. It is
// always up, answers at once and forgets nothing.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	history []change
	changed chan struct{}
	// watched is called when a watch of a kind begins, unless it is nil.
	watched func(kind string)
}

func newStore() *store {
	return &store{rev: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object as an operator or a server does.
func (sto *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	obj := object{Metadata: meta{Name: name}, Spec: data, Status: sto.objects[kind][name].Status}
	sto.commit(kind, obj)
}

// commit stores an object at the next revision. The lock must be held.
func (sto *store) commit(kind string, obj object) object {
	sto.rev++
	if sto.objects[kind] == nil {
		sto.objects[kind] = make(map[string]object)
	}
	obj.Metadata.Revision, obj.Metadata.Created = sto.rev, sto.rev
	if old, ok := sto.objects[kind][obj.Metadata.Name]; ok {
		obj.Metadata.Created = old.Metadata.Created
	}
	sto.objects[kind][obj.Metadata.Name] = obj
	sto.record(change{kind: kind, rev: sto.rev, Object: obj})
	return obj
}

func (sto *store) record(chg change) {
	sto.history = append(sto.history, chg)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

func reply(wri http.ResponseWriter, status int, body any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.Header().Set("Store-Era", "1")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(body)
}

// ServeHTTP serves one call.
func (sto *store) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	parts := strings.Split(strings.TrimPrefix(req.URL.Path, "/-/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case req.Method == http.MethodGet && req.URL.Query().Has("watch"):
		sto.watch(wri, req, kind)
	case req.Method == http.MethodGet && name == "":
		sto.list(wri, kind)
	case req.Method == http.MethodGet:
		sto.mu.Lock()
		obj, ok := sto.objects[kind][name]
		sto.mu.Unlock()
		if !ok {
			reply(wri, http.StatusNotFound, nil)
			return
		}
		reply(wri, http.StatusOK, obj)
	default:
		sto.write(wri, req, kind, name, len(parts) > 2 && parts[2] == "status")
	}
}

func (sto *store) list(wri http.ResponseWriter, kind string) {
	sto.mu.Lock()
	items := make([]object, 0, len(sto.objects[kind]))
	for _, obj := range sto.objects[kind] {
		items = append(items, obj)
	}
	rev := sto.rev
	sto.mu.Unlock()
	reply(wri, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": rev})
}

func (sto *store) watch(wri http.ResponseWriter, req *http.Request, kind string) {
	after, _ := strconv.ParseUint(req.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	sto.mu.Lock()
	if sto.watched != nil {
		sto.watched(kind)
	}
	sto.mu.Unlock()
	for {
		sto.mu.Lock()
		events := []change{}
		for _, chg := range sto.history {
			if chg.kind == kind && chg.rev > after {
				events = append(events, chg)
			}
		}
		rev, changed := sto.rev, sto.changed
		sto.mu.Unlock()
		if len(events) > 0 {
			reply(wri, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(wri, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (sto *store) write(wri http.ResponseWriter, req *http.Request, kind, name string, status bool) {
	var obj object
	if req.Method != http.MethodDelete {
		if json.NewDecoder(req.Body).Decode(&obj) != nil {
			reply(wri, http.StatusBadRequest, nil)
			return
		}
	}
	if req.Method == http.MethodPost {
		name = obj.Metadata.Name
	}
	rev := obj.Metadata.Revision
	if text := req.URL.Query().Get("revision"); text != "" {
		rev, _ = strconv.ParseUint(text, 10, 64)
	}
	sto.mu.Lock()
	old, exists := sto.objects[kind][name]
	code, out := http.StatusOK, object{}
	switch {
	case !exists && req.Method != http.MethodPost:
		code = http.StatusNotFound
	case exists && (req.Method == http.MethodPost || rev != 0 && rev != old.Metadata.Revision):
		code, out = http.StatusConflict, old
	case req.Method == http.MethodDelete:
		sto.rev++
		delete(sto.objects[kind], name)
		sto.record(change{kind: kind, rev: sto.rev, Removed: true, Object: old})
	case status:
		out = sto.commit(kind, object{Metadata: meta{Name: name}, Spec: old.Spec, Status: obj.Status})
	default:
		out = sto.commit(kind, object{Metadata: meta{Name: name}, Spec: obj.Spec, Status: old.Status})
	}
	sto.mu.Unlock()
	if code == http.StatusNotFound {
		reply(wri, code, nil)
		return
	}
	reply(wri, code, out)
}
