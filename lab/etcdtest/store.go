package etcdtest

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"sort"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// Store is the keys of a cluster with their history, as etcd's MVCC has them. It knows no time and no socket.
type Store struct {
	rev       int64 // of the last change; an empty store is at 1
	compacted int64 // changes up to here are forgotten
	keys      map[string][]version
	order     []string // of all keys that have a version, sorted
	log       map[int64][]*mvccpb.Event
	leases    map[int64]*lease
}

// version is what a key was from a revision on.
type version struct {
	rev int64
	kv  *mvccpb.KeyValue // nil = deleted
}

type lease struct {
	ttl  int64 // seconds
	end  float64
	keys map[string]bool
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{rev: 1, keys: map[string][]version{}, log: map[int64][]*mvccpb.Event{}, leases: map[int64]*lease{}}
}

// At gives a store that has what this one had at a revision, and no history before it: a backup that was restored. Its
// leases run on.
func (s *Store) At(rev int64) *Store {
	old := NewStore()
	old.rev, old.compacted = rev, rev
	for _, key := range s.order {
		if kv := s.get(key, rev); kv != nil {
			old.keys[key] = []version{{kv.ModRevision, kv}}
			old.order = append(old.order, key)
		}
	}
	for id, l := range s.leases {
		copied := &lease{ttl: l.ttl, end: l.end, keys: map[string]bool{}}
		for key := range l.keys {
			if kv := old.get(key, rev); kv != nil && kv.Lease == id {
				copied.keys[key] = true
			}
		}
		old.leases[id] = copied
	}
	return old
}

// get gives a key as it was at a revision, nil if it was not there.
func (s *Store) get(key string, rev int64) *mvccpb.KeyValue {
	list := s.keys[key]
	i := sort.Search(len(list), func(i int) bool { return list[i].rev > rev })
	if i == 0 {
		return nil
	}
	return list[i-1].kv
}

// span gives the keys of a range, in order.
func (s *Store) span(key, end []byte) []string {
	from := sort.SearchStrings(s.order, string(key))
	to := len(s.order)
	switch {
	case len(end) == 0:
		if to = from; from < len(s.order) && s.order[from] == string(key) {
			to++
		}
	case len(end) != 1 || end[0] != 0:
		to = max(from, sort.SearchStrings(s.order, string(end)))
	}
	return s.order[from:to]
}

// Range reads, as of a revision at the most: that which a member has come to.
func (s *Store) Range(r *etcdserverpb.RangeRequest, upto int64) (*etcdserverpb.RangeResponse, error) {
	if len(r.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	rev := upto
	if r.Revision > 0 {
		rev = r.Revision
	}
	switch {
	case rev > upto:
		return nil, rpctypes.ErrGRPCFutureRev
	case rev < s.compacted:
		return nil, rpctypes.ErrGRPCCompacted
	}
	out := &etcdserverpb.RangeResponse{}
	for _, key := range s.span(r.Key, r.RangeEnd) {
		kv := s.get(key, rev)
		if kv == nil {
			continue
		}
		out.Count++
		if r.CountOnly || outside(kv.ModRevision, r.MinModRevision, r.MaxModRevision) ||
			outside(kv.CreateRevision, r.MinCreateRevision, r.MaxCreateRevision) {
			continue
		}
		if r.KeysOnly {
			kv = &mvccpb.KeyValue{Key: kv.Key, CreateRevision: kv.CreateRevision, ModRevision: kv.ModRevision,
				Version: kv.Version, Lease: kv.Lease}
		}
		out.Kvs = append(out.Kvs, kv)
	}
	arrange(out.Kvs, r)
	if r.Limit > 0 && int64(len(out.Kvs)) > r.Limit {
		out.Kvs, out.More = out.Kvs[:r.Limit], true
	}
	return out, nil
}

func outside(rev, least, most int64) bool { return least > 0 && rev < least || most > 0 && rev > most }

func arrange(kvs []*mvccpb.KeyValue, r *etcdserverpb.RangeRequest) {
	if r.SortOrder == etcdserverpb.RangeRequest_NONE && r.SortTarget == etcdserverpb.RangeRequest_KEY {
		return
	}
	slices.SortStableFunc(kvs, func(a, b *mvccpb.KeyValue) int {
		c := 0
		switch r.SortTarget {
		case etcdserverpb.RangeRequest_KEY:
			c = bytes.Compare(a.Key, b.Key)
		case etcdserverpb.RangeRequest_VERSION:
			c = cmp.Compare(a.Version, b.Version)
		case etcdserverpb.RangeRequest_CREATE:
			c = cmp.Compare(a.CreateRevision, b.CreateRevision)
		case etcdserverpb.RangeRequest_MOD:
			c = cmp.Compare(a.ModRevision, b.ModRevision)
		case etcdserverpb.RangeRequest_VALUE:
			c = bytes.Compare(a.Value, b.Value)
		}
		if r.SortOrder == etcdserverpb.RangeRequest_DESCEND {
			return -c
		}
		return c
	})
}

// write is a transaction that changes the store: all of its changes have one revision.
type write struct {
	s      *Store
	rev    int64
	events []*mvccpb.Event
}

func (s *Store) begin() *write { return &write{s: s, rev: s.rev + 1} }

// end makes the changes hold, if there are any.
func (w *write) end() {
	if len(w.events) > 0 {
		w.s.rev = w.rev
		w.s.log[w.rev] = w.events
	}
}

// mayPut tells what is wrong with a put.
func (s *Store) mayPut(r *etcdserverpb.PutRequest) error {
	switch {
	case len(r.Key) == 0:
		return rpctypes.ErrGRPCEmptyKey
	case r.IgnoreValue && len(r.Value) > 0:
		return rpctypes.ErrGRPCValueProvided
	case r.IgnoreLease && r.Lease != 0:
		return rpctypes.ErrGRPCLeaseProvided
	case (r.IgnoreValue || r.IgnoreLease) && s.get(string(r.Key), math.MaxInt64) == nil:
		return rpctypes.ErrGRPCKeyNotFound
	case r.Lease != 0 && s.leases[r.Lease] == nil:
		return rpctypes.ErrGRPCLeaseNotFound
	}
	return nil
}

func (w *write) put(r *etcdserverpb.PutRequest) (*etcdserverpb.PutResponse, error) {
	s, key := w.s, string(r.Key)
	old := s.get(key, math.MaxInt64)
	if err := s.mayPut(r); err != nil {
		return nil, err
	}
	kv := &mvccpb.KeyValue{Key: r.Key, Value: r.Value, Lease: r.Lease, CreateRevision: w.rev, ModRevision: w.rev, Version: 1}
	if old != nil {
		kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
		if r.IgnoreValue {
			kv.Value = old.Value
		}
		if r.IgnoreLease {
			kv.Lease = old.Lease
		}
	}
	w.set(key, kv, old)
	out := &etcdserverpb.PutResponse{}
	if r.PrevKv {
		out.PrevKv = old
	}
	return out, nil
}

func (w *write) delete(r *etcdserverpb.DeleteRangeRequest) (*etcdserverpb.DeleteRangeResponse, error) {
	if len(r.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	out := &etcdserverpb.DeleteRangeResponse{}
	for _, key := range w.s.span(r.Key, r.RangeEnd) {
		if old := w.s.get(key, math.MaxInt64); old != nil {
			w.set(key, nil, old)
			out.Deleted++
			if r.PrevKv {
				out.PrevKvs = append(out.PrevKvs, old)
			}
		}
	}
	return out, nil
}

// set gives a key its next version.
func (w *write) set(key string, kv, old *mvccpb.KeyValue) {
	s := w.s
	if old != nil && old.Lease != 0 && s.leases[old.Lease] != nil {
		delete(s.leases[old.Lease].keys, key)
	}
	if _, ok := s.keys[key]; !ok {
		i := sort.SearchStrings(s.order, key)
		s.order = slices.Insert(s.order, i, key)
	}
	e := &mvccpb.Event{Kv: kv, PrevKv: old}
	if kv == nil {
		e.Type, e.Kv = mvccpb.Event_DELETE, &mvccpb.KeyValue{Key: []byte(key), ModRevision: w.rev}
	} else if kv.Lease != 0 {
		s.leases[kv.Lease].keys[key] = true
	}
	list := s.keys[key]
	if n := len(list); n > 0 && list[n-1].rev == w.rev {
		list = list[:n-1]
	}
	s.keys[key] = append(list, version{w.rev, kv})
	w.events = append(w.events, e)
}

// Txn carries out one of two lists of operations, at one revision.
func (s *Store) Txn(r *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	ops, met := r.Success, true
	for _, c := range r.Compare {
		met = met && s.holds(c)
	}
	if !met {
		ops = r.Failure
	}
	if err := s.may(ops); err != nil {
		return nil, err
	}
	w := s.begin()
	out := &etcdserverpb.TxnResponse{Succeeded: met}
	for _, op := range ops {
		res := &etcdserverpb.ResponseOp{}
		var err error
		switch r := op.Request.(type) {
		case *etcdserverpb.RequestOp_RequestRange:
			var got *etcdserverpb.RangeResponse
			got, err = s.Range(r.RequestRange, w.rev)
			res.Response = &etcdserverpb.ResponseOp_ResponseRange{ResponseRange: got}
		case *etcdserverpb.RequestOp_RequestPut:
			var got *etcdserverpb.PutResponse
			got, err = w.put(r.RequestPut)
			res.Response = &etcdserverpb.ResponseOp_ResponsePut{ResponsePut: got}
		case *etcdserverpb.RequestOp_RequestDeleteRange:
			var got *etcdserverpb.DeleteRangeResponse
			got, err = w.delete(r.RequestDeleteRange)
			res.Response = &etcdserverpb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: got}
		}
		if err != nil {
			return nil, err
		}
		out.Responses = append(out.Responses, res)
	}
	w.end()
	return out, nil
}

// may tells what is wrong with operations, before any of them is carried out.
func (s *Store) may(ops []*etcdserverpb.RequestOp) error {
	put := map[string]bool{}
	for _, op := range ops {
		var err error
		switch r := op.Request.(type) {
		case *etcdserverpb.RequestOp_RequestPut:
			err = s.mayPut(r.RequestPut)
			if key := string(r.RequestPut.Key); put[key] {
				err = rpctypes.ErrGRPCDuplicateKey
			} else {
				put[key] = true
			}
		case *etcdserverpb.RequestOp_RequestRange:
			_, err = s.Range(r.RequestRange, s.rev)
		case *etcdserverpb.RequestOp_RequestDeleteRange:
			if len(r.RequestDeleteRange.Key) == 0 {
				err = rpctypes.ErrGRPCEmptyKey
			}
		default:
			err = rpctypes.ErrGRPCNotCapable
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) holds(c *etcdserverpb.Compare) bool {
	kv := s.get(string(c.Key), math.MaxInt64)
	if kv == nil {
		kv = &mvccpb.KeyValue{}
	}
	order := 0
	switch want := c.TargetUnion.(type) {
	case *etcdserverpb.Compare_Version:
		order = cmp.Compare(kv.Version, want.Version)
	case *etcdserverpb.Compare_CreateRevision:
		order = cmp.Compare(kv.CreateRevision, want.CreateRevision)
	case *etcdserverpb.Compare_ModRevision:
		order = cmp.Compare(kv.ModRevision, want.ModRevision)
	case *etcdserverpb.Compare_Value:
		order = bytes.Compare(kv.Value, want.Value)
	case *etcdserverpb.Compare_Lease:
		order = cmp.Compare(kv.Lease, want.Lease)
	}
	switch c.Result {
	case etcdserverpb.Compare_EQUAL:
		return order == 0
	case etcdserverpb.Compare_NOT_EQUAL:
		return order != 0
	case etcdserverpb.Compare_GREATER:
		return order > 0
	}
	return order < 0
}

// Compact forgets the history up to a revision, but what holds there.
func (s *Store) Compact(rev int64) error {
	switch {
	case rev <= s.compacted:
		return rpctypes.ErrGRPCCompacted
	case rev > s.rev:
		return rpctypes.ErrGRPCFutureRev
	}
	for at := s.compacted + 1; at <= rev; at++ {
		delete(s.log, at)
	}
	s.compacted = rev
	s.order = slices.DeleteFunc(s.order, func(key string) bool {
		list := s.keys[key]
		i := sort.Search(len(list), func(i int) bool { return list[i].rev > rev })
		if i > 0 && list[i-1].kv != nil {
			i--
		}
		if s.keys[key] = list[i:]; i == len(list) {
			delete(s.keys, key)
			return true
		}
		return false
	})
	return nil
}

// events gives what changed in a range at a revision.
func (s *Store) events(rev int64, key, end []byte) (list []*mvccpb.Event) {
	for _, e := range s.log[rev] {
		if within(e.Kv.Key, key, end) {
			list = append(list, e)
		}
	}
	return list
}

func within(k, key, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(k, key)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(k, key) >= 0
	}
	return bytes.Compare(k, key) >= 0 && bytes.Compare(k, end) < 0
}

// drop ends a lease and deletes its keys, at one revision.
func (s *Store) drop(id int64) {
	l := s.leases[id]
	w := s.begin()
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		w.set(key, nil, s.get(key, math.MaxInt64))
	}
	delete(s.leases, id)
	w.end()
}
