package fake

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/wagtailwick/wagtailwick/internal/cloud"
	"github.com/wagtailwick/wagtailwick/internal/store"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	headerETag = "ETag"
	pathFaults = "/faults"
	pathObject = "/objects/:kind/:name"
	pathVM     = "/vms/:id"
)

// A storeFaultsDoc is the body of PUT /faults of a store server.
type storeFaultsDoc struct {
	StoreFaults
	Seed uint64 `json:"seed,omitempty"`
}

// A storeServer serves the platform's object API.
type storeServer struct {
	sto *Store
}

// ServeStore serves the platform's object API on addr.
func ServeStore(addr string, sto *Store) (*Server, error) {
	ssv := storeServer{sto}
	return serve(addr, func(hz *server.Hertz) {
		hz.GET(pathObject, ssv.get)
		hz.PUT(pathObject, ssv.put)
		hz.DELETE(pathObject, ssv.remove)
		hz.GET("/objects/:kind", ssv.list)
		hz.GET("/calls", func(_ context.Context, rct *app.RequestContext) {
			writeJSON(rct, http.StatusOK, sto.Calls())
		})
		hz.PUT(pathFaults, func(_ context.Context, rct *app.RequestContext) {
			var doc storeFaultsDoc
			if readJSON(rct, &doc) {
				sto.SetFaults(doc.StoreFaults, doc.Seed)
				writeEmpty(rct, nil)
			}
		})
	})
}

func objectKey(rct *app.RequestContext) wick.ObjectKey {
	return wick.ObjectKey{Kind: wick.Kind(rct.Param("kind")), Name: rct.Param("name")}
}

// fail drops the connection for a lost response or a partition, and replies
// with status 503 for an outage.
func (ssv storeServer) fail(rct *app.RequestContext, err error) {
	if errors.Is(err, wick.ErrUnavailable) && !ssv.sto.isDown() {
		closeConn(rct)
		return
	}
	writeError(rct, err)
}

func (ssv storeServer) get(ctx context.Context, rct *app.RequestContext) {
	obj, err := ssv.sto.Get(ctx, objectKey(rct))
	if err != nil {
		ssv.fail(rct, err)
		return
	}
	rct.Header(headerETag, store.ETag(obj.Revision))
	rct.Data(http.StatusOK, wire.JSONMedia, obj.Data)
}

// precondition returns the revision required by a conditional write; 0 means
// that the object must not exist.
func precondition(rct *app.RequestContext) (wick.Revision, bool) {
	if string(rct.GetHeader("If-None-Match")) == "*" {
		return 0, true
	}
	return store.ParseETag(string(rct.GetHeader("If-Match")))
}

func (ssv storeServer) put(ctx context.Context, rct *app.RequestContext) {
	rev, ok := precondition(rct)
	if !ok {
		writeProblem(rct, wire.Problem{Type: wire.ProblemFailed, Status: http.StatusPreconditionRequired})
		return
	}
	if !json.Valid(rct.Request.Body()) {
		writeError(rct, wick.ErrInvalid)
		return
	}
	got, err := ssv.sto.Put(ctx, objectKey(rct), rct.Request.Body(), rev)
	if err != nil {
		ssv.fail(rct, err)
		return
	}
	rct.Header(headerETag, store.ETag(got))
	rct.SetStatusCode(http.StatusNoContent)
}

func (ssv storeServer) remove(ctx context.Context, rct *app.RequestContext) {
	rev, ok := precondition(rct)
	if !ok {
		writeProblem(rct, wire.Problem{Type: wire.ProblemFailed, Status: http.StatusPreconditionRequired})
		return
	}
	if err := ssv.sto.Delete(ctx, objectKey(rct), rev); err != nil {
		ssv.fail(rct, err)
		return
	}
	rct.SetStatusCode(http.StatusNoContent)
}

func (ssv storeServer) list(ctx context.Context, rct *app.RequestContext) {
	kind := wick.Kind(rct.Param("kind"))
	var objs []wick.Object
	var rev wick.Revision
	var err error
	if after, ok := rct.GetQuery("after"); ok {
		num, bad := strconv.ParseUint(after, 10, 64)
		if bad != nil {
			writeError(rct, wick.ErrInvalid)
			return
		}
		objs, rev, err = ssv.sto.WatchFor(ctx, kind, wick.Revision(num), preferredWait(rct))
	} else {
		objs, rev, err = ssv.sto.List(ctx, kind)
	}
	if err != nil {
		ssv.fail(rct, err)
		return
	}
	rep := store.ListReply{Revision: rev, Objects: make([]store.Item, 0, len(objs))}
	for _, obj := range objs {
		rep.Objects = append(rep.Objects, store.Item{
			Name: obj.Key.Name, Revision: obj.Revision, Data: obj.Data, Deleted: obj.Deleted,
		})
	}
	writeJSON(rct, http.StatusOK, rep)
}

// preferredWait returns the wait preference of the Prefer header, capped at
// 60 s.
func preferredWait(rct *app.RequestContext) time.Duration {
	for pref := range strings.SplitSeq(string(rct.GetHeader("Prefer")), ",") {
		if val, ok := strings.CutPrefix(strings.TrimSpace(pref), "wait="); ok {
			if secs, err := strconv.Atoi(val); err == nil && secs >= 0 {
				return min(time.Duration(secs)*time.Second, time.Minute)
			}
		}
	}
	return 0
}

// writeWithETag writes a value with an entity tag, or status 304 if the client
// already has it.
func writeWithETag(rct *app.RequestContext, val any) {
	body, err := json.Marshal(val)
	if err != nil {
		rct.SetStatusCode(http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
	rct.Header(headerETag, tag)
	if string(rct.GetHeader("If-None-Match")) == tag {
		rct.SetStatusCode(http.StatusNotModified)
		return
	}
	rct.Data(http.StatusOK, wire.JSONMedia, body)
}

// ServeCloud serves the cloud API on addr.
func ServeCloud(addr string, cld *Cloud) (*Server, error) {
	return serve(addr, func(hz *server.Hertz) {
		hz.GET("/vms", func(ctx context.Context, rct *app.RequestContext) {
			vms, err := cld.VMs(ctx)
			if err != nil {
				writeError(rct, err)
				return
			}
			writeWithETag(rct, cloud.ListReply{VMs: vms})
		})
		hz.POST("/vms", func(ctx context.Context, rct *app.RequestContext) {
			var ord wick.StartOrder
			if !readJSON(rct, &ord) {
				return
			}
			ord.Token = string(rct.GetHeader(wire.HeaderKey))
			vm, err := cld.Start(ctx, ord)
			if err != nil {
				writeError(rct, err)
				return
			}
			writeJSON(rct, http.StatusCreated, vm)
		})
		hz.DELETE(pathVM, func(ctx context.Context, rct *app.RequestContext) {
			writeEmpty(rct, cld.Stop(ctx, wick.VMID(rct.Param("id"))))
		})
		hz.PUT(pathVM, func(_ context.Context, rct *app.RequestContext) {
			var vm wick.VM
			if readJSON(rct, &vm) {
				vm.ID = wick.VMID(rct.Param("id"))
				cld.Register(vm)
				writeEmpty(rct, nil)
			}
		})
		hz.PUT(pathFaults, func(_ context.Context, rct *app.RequestContext) {
			var flt CloudFaults
			if readJSON(rct, &flt) {
				cld.SetFaults(flt)
				writeEmpty(rct, nil)
			}
		})
	})
}
