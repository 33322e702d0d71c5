package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A store is a sound stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]*object
	history []change
	changed chan struct{}
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind    string
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
}

func newStore() *store {
	return &store{rev: 1, objects: make(map[string]map[string]*object), changed: make(chan struct{})}
}

// put writes an object like the operator and the runners do.
func (sto *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.commit(kind, object{Metadata: meta{Name: name}, Spec: data})
}

// remove removes an object.
func (sto *store) remove(kind, name string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.drop(kind, name)
}

func (sto *store) commit(kind string, obj object) object {
	sto.rev++
	if sto.objects[kind] == nil {
		sto.objects[kind] = make(map[string]*object)
	}
	old := sto.objects[kind][obj.Metadata.Name]
	obj.Metadata.Revision, obj.Metadata.Created = sto.rev, sto.rev
	if old != nil {
		obj.Metadata.Created = old.Metadata.Created
	}
	if obj.Metadata.Finalizers == nil {
		obj.Metadata.Finalizers = []string{}
	}
	if obj.Status == nil {
		obj.Status = json.RawMessage("null")
	}
	sto.objects[kind][obj.Metadata.Name] = &obj
	sto.note(change{kind: kind, Object: obj})
	return obj
}

func (sto *store) drop(kind, name string) {
	if obj := sto.objects[kind][name]; obj != nil {
		sto.rev++
		delete(sto.objects[kind], name)
		gone := *obj
		gone.Metadata.Revision = sto.rev
		sto.note(change{kind: kind, Removed: true, Object: gone})
	}
}

func (sto *store) note(chg change) {
	sto.history = append(sto.history, chg)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

func writeJSON(wri http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_, _ = wri.Write(data)
}

// ServeHTTP serves one call.
func (sto *store) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	parts := strings.Split(strings.Trim(req.URL.Path, "/"), "/")
	if len(parts) < 3 {
		writeJSON(wri, http.StatusNotFound, nil)
		return
	}
	kind, name := parts[2], ""
	if len(parts) > 3 {
		name = parts[3]
	}
	switch {
	case req.Method == http.MethodGet && req.URL.Query().Has("watch"):
		sto.watch(wri, req, kind)
	case req.Method == http.MethodGet && name == "":
		sto.list(wri, kind)
	case req.Method == http.MethodGet:
		sto.mu.Lock()
		obj := sto.objects[kind][name]
		sto.mu.Unlock()
		if obj == nil {
			writeJSON(wri, http.StatusNotFound, nil)
			return
		}
		writeJSON(wri, http.StatusOK, obj)
	default:
		sto.write(wri, req, kind, name, len(parts) > 4)
	}
}

func (sto *store) list(wri http.ResponseWriter, kind string) {
	sto.mu.Lock()
	items := make([]object, 0)
	for _, obj := range sto.objects[kind] {
		items = append(items, *obj)
	}
	rev := sto.rev
	sto.mu.Unlock()
	sort.Slice(items, func(one, two int) bool { return items[one].Metadata.Name < items[two].Metadata.Name })
	writeJSON(wri, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": rev})
}

func (sto *store) watch(wri http.ResponseWriter, req *http.Request, kind string) {
	after, _ := strconv.ParseUint(req.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		sto.mu.Lock()
		events := make([]change, 0)
		for _, chg := range sto.history {
			if chg.kind == kind && chg.Object.Metadata.Revision > after {
				events = append(events, chg)
			}
		}
		rev, changed := sto.rev, sto.changed
		sto.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				ended = true
			case <-req.Context().Done():
				return
			}
		}
		if ended || len(events) > 0 {
			writeJSON(wri, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
	}
}

func (sto *store) write(wri http.ResponseWriter, req *http.Request, kind, name string, status bool) {
	var obj object
	if req.Method != http.MethodDelete {
		if err := json.NewDecoder(req.Body).Decode(&obj); err != nil {
			writeJSON(wri, http.StatusBadRequest, nil)
			return
		}
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if req.Method == http.MethodPost {
		name = obj.Metadata.Name
	}
	old := sto.objects[kind][name]
	rev := obj.Metadata.Revision
	if text := req.URL.Query().Get("revision"); text != "" {
		rev, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case old == nil && req.Method != http.MethodPost:
		writeJSON(wri, http.StatusNotFound, nil)
		return
	case old != nil && (req.Method == http.MethodPost || rev != 0 && rev != old.Metadata.Revision):
		writeJSON(wri, http.StatusConflict, old)
		return
	case req.Method == http.MethodDelete:
		sto.drop(kind, name)
		writeJSON(wri, http.StatusOK, nil)
		return
	}
	next := object{Metadata: meta{Name: name, Finalizers: obj.Metadata.Finalizers}, Spec: obj.Spec}
	if old != nil {
		next.Status = old.Status
	}
	if status {
		next.Spec, next.Status, next.Metadata.Finalizers = old.Spec, obj.Status, old.Metadata.Finalizers
	}
	writeJSON(wri, http.StatusOK, sto.commit(kind, next))
}
