package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A store is a stand-in for the platform's object store.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	// history lists all changes, oldest first. changed is closed by the next one.
	history []change
	changed chan struct{}
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

type change struct {
	kind    string
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
}

// newStore starts a store and returns it with its address.
func newStore() (*store, string, error) {
	sto := &store{rev: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	go func() { _ = http.Serve(lis, sto) }()
	return sto, lis.Addr().String(), nil
}

// put writes an object unconditionally, like an operator or a runner.
func (sto *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	old := sto.objects[kind][name]
	if string(old.Spec) != string(data) {
		sto.commit(kind, object{Metadata: metadata{Name: name}, Spec: data, Status: old.Status})
	}
}

// remove removes an object.
func (sto *store) remove(kind, name string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.delete(kind, name)
}

// commit stores an object under the next revision and returns it. mu must be held.
func (sto *store) commit(kind string, obj object) object {
	sto.rev++
	obj.Metadata.Revision, obj.Metadata.Created = sto.rev, sto.rev
	if old, ok := sto.objects[kind][obj.Metadata.Name]; ok {
		obj.Metadata.Created = old.Metadata.Created
	}
	if sto.objects[kind] == nil {
		sto.objects[kind] = make(map[string]object)
	}
	sto.objects[kind][obj.Metadata.Name] = obj
	sto.append(change{kind: kind, Object: obj})
	return obj
}

// delete removes an object. mu must be held.
func (sto *store) delete(kind, name string) {
	obj, ok := sto.objects[kind][name]
	if !ok {
		return
	}
	sto.rev++
	obj.Metadata.Revision = sto.rev
	delete(sto.objects[kind], name)
	sto.append(change{kind: kind, Removed: true, Object: obj})
}

// append records a change and wakes the watches. mu must be held.
func (sto *store) append(chg change) {
	sto.history = append(sto.history, chg)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (sto *store) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	wri.Header().Set("Store-Era", "1")
	parts := strings.Split(strings.Trim(req.URL.Path, "/"), "/")
	if len(parts) < 3 {
		wri.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name := parts[2], strings.Join(parts[3:min(len(parts), 4)], "")
	switch {
	case req.Method == http.MethodGet && req.URL.Query().Has("watch"):
		sto.watch(wri, req, kind)
	case req.Method == http.MethodGet && name == "":
		sto.list(wri, kind)
	case req.Method == http.MethodGet:
		sto.get(wri, kind, name)
	default:
		sto.write(wri, req, kind, name, len(parts) > 4)
	}
}

func reply(wri http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_, _ = wri.Write(data) // the caller may have left
}

func (sto *store) get(wri http.ResponseWriter, kind, name string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if obj, ok := sto.objects[kind][name]; ok {
		reply(wri, http.StatusOK, obj)
		return
	}
	reply(wri, http.StatusNotFound, nil)
}

func (sto *store) list(wri http.ResponseWriter, kind string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	items := make([]object, 0, len(sto.objects[kind]))
	for _, name := range slices.Sorted(maps.Keys(sto.objects[kind])) {
		items = append(items, sto.objects[kind][name])
	}
	reply(wri, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": sto.rev})
}

func (sto *store) watch(wri http.ResponseWriter, req *http.Request, kind string) {
	after, _ := strconv.ParseUint(req.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		sto.mu.Lock()
		events := []change{}
		for _, chg := range sto.history {
			if chg.kind == kind && chg.Object.Metadata.Revision > after {
				events = append(events, chg)
			}
		}
		rev, changed := sto.rev, sto.changed
		sto.mu.Unlock()
		if len(events) > 0 || ended {
			reply(wri, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-req.Context().Done():
			return
		}
	}
}

func (sto *store) write(wri http.ResponseWriter, req *http.Request, kind, name string, status bool) {
	var obj object
	if req.Method != http.MethodDelete {
		if err := json.NewDecoder(req.Body).Decode(&obj); err != nil {
			reply(wri, http.StatusBadRequest, fmt.Sprint(err))
			return
		}
	}
	rev := obj.Metadata.Revision
	if text := req.URL.Query().Get("revision"); text != "" {
		rev, _ = strconv.ParseUint(text, 10, 64)
	}
	create := req.Method == http.MethodPost
	if create {
		name = obj.Metadata.Name
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	old, exists := sto.objects[kind][name]
	next := object{Metadata: metadata{Name: name}, Spec: obj.Spec, Status: old.Status}
	if status {
		next.Spec, next.Status = old.Spec, obj.Status
	}
	switch {
	case !exists && !create:
		reply(wri, http.StatusNotFound, nil)
	case exists && (create || rev != 0 && rev != old.Metadata.Revision):
		reply(wri, http.StatusConflict, old)
	case req.Method == http.MethodDelete:
		sto.delete(kind, name)
		reply(wri, http.StatusOK, old)
	case exists && string(old.Spec) == string(next.Spec) && string(old.Status) == string(next.Status):
		reply(wri, http.StatusOK, old)
	default:
		reply(wri, http.StatusOK, sto.commit(kind, next))
	}
}
