package etcdtest

import (
	"context"
	"fmt"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// service is what a member answers.
type service struct{ m *Member }

// user names who calls, or says why nobody may.
func (s *service) user(ctx context.Context) error {
	c := s.m.cluster
	if len(c.password) == 0 {
		return nil
	}
	md, _ := metadata.FromIncomingContext(ctx)
	tokens := append(md.Get(rpctypes.TokenFieldNameGRPC), md.Get(rpctypes.TokenFieldNameSwagger)...)
	if len(tokens) == 0 {
		return rpctypes.ErrGRPCUserEmpty
	}
	if _, ok := c.tokens[tokens[0]]; !ok {
		return rpctypes.ErrGRPCInvalidAuthToken
	}
	return nil
}

// unary refuses calls of nobody, and those that need a leader without one.
func (s *service) unary(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	_, open := req.(*etcdserverpb.AuthenticateRequest)
	c := s.m.cluster
	c.mu.Lock()
	err := s.user(ctx)
	if open {
		err = nil
	}
	md, _ := metadata.FromIncomingContext(ctx)
	if len(md.Get(rpctypes.MetadataRequireLeaderKey)) > 0 && !c.leader {
		err = rpctypes.ErrGRPCNoLeader
	}
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return next(ctx, req)
}

// agreed waits until what the member shows is what the cluster agrees on, and holds the lock then.
func (s *service) agreed(ctx context.Context, f func() error) error {
	c := s.m.cluster
	for {
		c.mu.Lock()
		if c.leader && (s.m.lag == 0 || s.m.stale || s.m.lag >= c.store.rev) {
			defer c.mu.Unlock()
			return f()
		}
		news := c.news
		c.mu.Unlock()
		select {
		case <-news:
		case <-ctx.Done():
			return rpctypes.ErrGRPCTimeout
		}
	}
}

// change waits for a leader, then changes the store and lets the watches know.
func (s *service) change(ctx context.Context, f func() error) error {
	return s.agreed(ctx, func() error {
		err := f()
		c := s.m.cluster
		close(c.news)
		c.news = make(chan struct{})
		return err
	})
}

type kv struct {
	etcdserverpb.UnimplementedKVServer
	s *service
}

// Range reads.
func (k kv) Range(ctx context.Context, r *etcdserverpb.RangeRequest) (out *etcdserverpb.RangeResponse, err error) {
	m := k.s.m
	read := func() error {
		m.ranges++
		if m.between != nil {
			go m.between() // once the lock is free
			m.between = nil
		}
		if out, err = m.cluster.store.Range(r, m.upto()); err == nil {
			out.Header = m.header()
		}
		return err
	}
	if r.Serializable {
		m.cluster.mu.Lock()
		defer m.cluster.mu.Unlock()
		return out, read()
	}
	err = k.s.agreed(ctx, read)
	return out, err
}

// Put writes.
func (k kv) Put(ctx context.Context, r *etcdserverpb.PutRequest) (out *etcdserverpb.PutResponse, err error) {
	err = k.s.change(ctx, func() error {
		w := k.s.m.cluster.store.begin()
		if out, err = w.put(r); err == nil {
			w.end()
			out.Header = k.s.m.header()
		}
		return err
	})
	return out, err
}

// DeleteRange deletes.
func (k kv) DeleteRange(ctx context.Context, r *etcdserverpb.DeleteRangeRequest) (out *etcdserverpb.DeleteRangeResponse, err error) {
	err = k.s.change(ctx, func() error {
		w := k.s.m.cluster.store.begin()
		if out, err = w.delete(r); err == nil {
			w.end()
			out.Header = k.s.m.header()
		}
		return err
	})
	return out, err
}

// Txn carries out a transaction.
func (k kv) Txn(ctx context.Context, r *etcdserverpb.TxnRequest) (out *etcdserverpb.TxnResponse, err error) {
	err = k.s.change(ctx, func() error {
		if out, err = k.s.m.cluster.store.Txn(r); err == nil {
			out.Header = k.s.m.header()
		}
		return err
	})
	return out, err
}

// Compact forgets history.
func (k kv) Compact(ctx context.Context, r *etcdserverpb.CompactionRequest) (out *etcdserverpb.CompactionResponse, err error) {
	err = k.s.change(ctx, func() error {
		out = &etcdserverpb.CompactionResponse{Header: k.s.m.header()}
		return k.s.m.cluster.store.Compact(r.Revision)
	})
	return out, err
}

type leases struct {
	etcdserverpb.UnimplementedLeaseServer
	s *service
}

// LeaseGrant begins a lease.
func (l leases) LeaseGrant(ctx context.Context, r *etcdserverpb.LeaseGrantRequest) (out *etcdserverpb.LeaseGrantResponse, err error) {
	c := l.s.m.cluster
	err = l.s.change(ctx, func() error {
		if c.store.leases[r.ID] != nil {
			return rpctypes.ErrGRPCLeaseExist
		}
		out = &etcdserverpb.LeaseGrantResponse{Header: l.s.m.header(), ID: c.grant(r.ID, r.TTL), TTL: r.TTL}
		return nil
	})
	return out, err
}

// LeaseRevoke ends a lease and deletes its keys.
func (l leases) LeaseRevoke(ctx context.Context, r *etcdserverpb.LeaseRevokeRequest) (out *etcdserverpb.LeaseRevokeResponse, err error) {
	c := l.s.m.cluster
	err = l.s.change(ctx, func() error {
		if c.store.leases[r.ID] == nil {
			return rpctypes.ErrGRPCLeaseNotFound
		}
		c.store.drop(r.ID)
		out = &etcdserverpb.LeaseRevokeResponse{Header: l.s.m.header()}
		return nil
	})
	return out, err
}

// LeaseKeepAlive has leases begin anew, until the client ends the stream.
func (l leases) LeaseKeepAlive(stream etcdserverpb.Lease_LeaseKeepAliveServer) error {
	c := l.s.m.cluster
	for {
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		out := &etcdserverpb.LeaseKeepAliveResponse{ID: r.ID}
		err = l.s.agreed(stream.Context(), func() error {
			if err := l.s.user(stream.Context()); err != nil {
				return err
			}
			out.Header = l.s.m.header()
			if old := c.store.leases[r.ID]; old != nil {
				out.TTL = old.ttl
				c.expire(r.ID, c.clock.Now()+float64(old.ttl)*1000)
			}
			return nil
		})
		if err == nil {
			err = stream.Send(out)
		}
		if err != nil {
			return err
		}
	}
}

// LeaseTimeToLive tells of a lease; one that is not there has -1 left.
func (l leases) LeaseTimeToLive(ctx context.Context, r *etcdserverpb.LeaseTimeToLiveRequest) (out *etcdserverpb.LeaseTimeToLiveResponse, err error) {
	c := l.s.m.cluster
	err = l.s.agreed(ctx, func() error {
		out = &etcdserverpb.LeaseTimeToLiveResponse{Header: l.s.m.header(), ID: r.ID, TTL: -1}
		if old := c.store.leases[r.ID]; old != nil {
			out.TTL, out.GrantedTTL = int64((old.end-c.clock.Now())/1000), old.ttl
		}
		return nil
	})
	return out, err
}

type auth struct {
	etcdserverpb.UnimplementedAuthServer
	s *service
}

// Authenticate gives a token for a name and a password.
func (a auth) Authenticate(_ context.Context, r *etcdserverpb.AuthenticateRequest) (*etcdserverpb.AuthenticateResponse, error) {
	c := a.s.m.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.password) == 0 {
		return nil, rpctypes.ErrGRPCAuthNotEnabled
	}
	if want, ok := c.password[r.Name]; !ok || want != r.Password {
		return nil, rpctypes.ErrGRPCAuthFailed
	}
	c.lastToken++
	token := fmt.Sprintf("token.%d", c.lastToken)
	c.tokens[token] = r.Name
	return &etcdserverpb.AuthenticateResponse{Header: a.s.m.header(), Token: token}, nil
}

type maintenance struct {
	etcdserverpb.UnimplementedMaintenanceServer
	s *service
}

// Status tells how the member does.
func (m maintenance) Status(context.Context, *etcdserverpb.StatusRequest) (*etcdserverpb.StatusResponse, error) {
	c := m.s.m.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &etcdserverpb.StatusResponse{Header: m.s.m.header(), Version: "3.7.3", RaftTerm: c.term}
	if c.leader {
		out.Leader = c.Members[0].id
	}
	return out, nil
}
