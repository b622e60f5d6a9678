package etcdtest

import (
	"maps"
	"slices"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc/metadata"
)

const (
	mostRevisions = 1000 // in one response, as etcd has it
	nobody        = -1   // the watch that is meant when all are, or none
)

type watch struct {
	etcdserverpb.UnimplementedWatchServer
	s *service
}

// watcher is one watch of a stream.
type watcher struct {
	r    *etcdserverpb.WatchCreateRequest
	next int64 // the first revision that it was not told of
}

// stream is all watches of one call.
type stream struct {
	s         *service
	send      func(*etcdserverpb.WatchResponse) error
	watchers  map[int64]*watcher
	last      int64                         // id that was given
	progress  bool                          // was asked for
	notices   int                           // of progress, given unasked
	cancelled int                           // times that all watches were
	out       []*etcdserverpb.WatchResponse // to be sent
	waiting   []*etcdserverpb.WatchResponse // for the one that goes out before it
}

// Watch tells of changes, for any number of watches.
func (w watch) Watch(call etcdserverpb.Watch_WatchServer) error {
	c, m := w.s.m.cluster, w.s.m
	st := &stream{s: w.s, send: call.Send, watchers: map[int64]*watcher{}}
	md, _ := metadata.FromIncomingContext(call.Context())
	led := len(md.Get(rpctypes.MetadataRequireLeaderKey)) > 0
	c.mu.Lock()
	drop := m.drop
	st.notices, st.cancelled = m.notices, m.cancelled
	c.mu.Unlock()
	requests, ended := make(chan *etcdserverpb.WatchRequest), make(chan error, 1)
	go func() {
		for {
			r, err := call.Recv()
			if err != nil {
				ended <- err
				return
			}
			select {
			case requests <- r:
			case <-call.Context().Done():
				ended <- call.Context().Err()
				return
			}
		}
	}()
	for {
		c.mu.Lock()
		if led && !c.leader {
			c.mu.Unlock()
			return rpctypes.ErrGRPCNoLeader
		}
		st.collect()
		st.spoil()
		out, news := st.out, c.news
		st.out = nil
		c.mu.Unlock()
		for _, r := range out {
			if err := st.send(r); err != nil {
				return err
			}
		}
		select {
		case r := <-requests:
			c.mu.Lock()
			st.take(r, w.s.user(call.Context()))
			c.mu.Unlock()
		case <-news:
		case <-drop:
			return rpctypes.ErrGRPCStopped
		case err := <-ended:
			return err
		}
	}
}

// take carries out what a client asks for.
func (st *stream) take(r *etcdserverpb.WatchRequest, denied error) {
	m := st.s.m
	switch r := r.RequestUnion.(type) {
	case *etcdserverpb.WatchRequest_CreateRequest:
		create := r.CreateRequest
		id := create.WatchId
		if id == 0 {
			st.last++
			id = st.last
		}
		out := &etcdserverpb.WatchResponse{Header: m.header(), WatchId: id, Created: true}
		if st.watchers[id] != nil || denied != nil {
			out.WatchId, out.Canceled, out.CancelReason = nobody, true, "watch id is taken"
			if denied != nil {
				out.CancelReason = rpctypes.ErrorDesc(denied)
			}
		} else {
			w := &watcher{r: create, next: create.StartRevision}
			if w.next == 0 {
				w.next = m.upto() + 1
			}
			if len(create.Key) == 0 { // the whole of the keys
				create.Key = []byte{0}
			}
			st.watchers[id] = w
		}
		st.out = append(st.out, out)
	case *etcdserverpb.WatchRequest_CancelRequest:
		if id := r.CancelRequest.WatchId; st.watchers[id] != nil {
			delete(st.watchers, id)
			st.out = append(st.out, &etcdserverpb.WatchResponse{Header: m.header(), WatchId: id, Canceled: true})
		}
	case *etcdserverpb.WatchRequest_ProgressRequest:
		st.progress = true
	}
}

// collect gathers what is to be told now.
func (st *stream) collect() {
	c, m := st.s.m.cluster, st.s.m
	if m.held {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(st.watchers)) {
		w := st.watchers[id]
		if st.cancelled < m.cancelled {
			delete(st.watchers, id)
			st.out = append(st.out, &etcdserverpb.WatchResponse{Header: m.header(), WatchId: id, Canceled: true, CancelReason: m.reason})
			continue
		}
		if w.next <= c.store.compacted && w.next <= m.upto() {
			delete(st.watchers, id)
			st.out = append(st.out, &etcdserverpb.WatchResponse{Header: m.header(), WatchId: id, Canceled: true,
				CompactRevision: c.store.compacted + 1})
			continue
		}
		for w.next <= m.upto() {
			var events []*mvccpb.Event
			to := min(m.upto(), w.next+mostRevisions-1)
			if m.swap > 0 || st.waiting != nil {
				to = w.next // or there may be nothing to swap
			}
			for ; w.next <= to; w.next++ {
				events = append(events, w.filter(c.store.events(w.next, w.r.Key, w.r.RangeEnd))...)
			}
			if len(events) > 0 {
				st.tell(id, w, events)
			}
		}
	}
	st.cancelled = m.cancelled
	if st.waiting != nil { // progress never comes before what it is about
		return
	}
	if st.notices < m.notices {
		st.notices = m.notices
		for _, id := range slices.Sorted(maps.Keys(st.watchers)) {
			if st.watchers[id].r.ProgressNotify {
				st.out = append(st.out, &etcdserverpb.WatchResponse{Header: m.header(), WatchId: id})
			}
		}
	}
	if st.progress {
		st.progress = false
		st.out = append(st.out, &etcdserverpb.WatchResponse{Header: m.header(), WatchId: nobody})
	}
}

func (w *watcher) filter(events []*mvccpb.Event) (list []*mvccpb.Event) {
	for _, e := range events {
		if e.Type == mvccpb.Event_PUT && slices.Contains(w.r.Filters, etcdserverpb.WatchCreateRequest_NOPUT) ||
			e.Type == mvccpb.Event_DELETE && slices.Contains(w.r.Filters, etcdserverpb.WatchCreateRequest_NODELETE) {
			continue
		}
		if !w.r.PrevKv {
			e = &mvccpb.Event{Type: e.Type, Kv: e.Kv}
		}
		list = append(list, e)
	}
	return list
}

// tell puts events into one response, or into fragments.
func (st *stream) tell(id int64, w *watcher, events []*mvccpb.Event) {
	m := st.s.m
	size := len(events)
	if w.r.Fragment && m.pieces > 0 {
		size = m.pieces
	}
	for len(events) > 0 {
		n := min(size, len(events))
		st.out = append(st.out, &etcdserverpb.WatchResponse{Header: m.header(), WatchId: id, Events: events[:n],
			Fragment: n < len(events)})
		events = events[n:]
	}
}

// spoil does to what is to be sent what the script wants. The fragments of one response stay together.
func (st *stream) spoil() {
	m := st.s.m
	var out []*etcdserverpb.WatchResponse
	for rest := st.out; len(rest) > 0; {
		n := 1
		for rest[n-1].Fragment {
			n++
		}
		whole := rest[:n]
		rest = rest[n:]
		if len(whole[0].Events) == 0 {
			out = append(out, whole...)
			continue
		}
		if m.ahead > 0 {
			whole[n-1].Header.Revision += m.ahead
			m.ahead = 0
		}
		switch {
		case st.waiting != nil:
			out = append(append(out, whole...), st.waiting...)
			st.waiting = nil
		case m.swap > 0:
			m.swap--
			st.waiting = whole
		default:
			out = append(out, whole...)
		}
		if m.repeat > 0 && st.waiting == nil {
			m.repeat--
			out = append(out, whole...)
		}
	}
	st.out = out
}
