package etcd

import (
	"context"
	"errors"
	"fmt"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"linenwheel.dev/linenwheel/internal/clock"
)

const (
	pageSize   = 2000     // keys in an answer
	mostAnswer = 64 << 20 // bytes: values may be 1.5 MiB each
)

// conn is a connection to one member.
type conn struct {
	clock  clock.Clock
	limit  float64 // milliseconds for a call
	grpc   *grpc.ClientConn
	kv     etcdserverpb.KVClient
	token  string
	prefix string
}

// dial prepares a connection; it is made with the first call.
func dial(addr string, set *Settings) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if set.TLS != nil {
		creds = credentials.NewTLS(set.TLS)
	}
	options := []grpc.DialOption{grpc.WithTransportCredentials(creds), grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(mostAnswer))}
	if set.Dial != nil {
		options = append(options, grpc.WithContextDialer(set.Dial))
	}
	return grpc.NewClient("passthrough:///"+addr, options...)
}

// connect asks for a token where there is a user.
func (s *Source) connect(ctx context.Context, set *Settings, addr string) (*conn, error) {
	raw, err := dial(addr, set)
	if err != nil {
		return nil, err
	}
	c := &conn{clock: s.Clock, limit: set.CallTimeout, grpc: raw, kv: etcdserverpb.NewKVClient(raw), prefix: set.Prefix}
	if set.User != "" {
		err = c.call(ctx, func(ctx context.Context) error {
			got, err := etcdserverpb.NewAuthClient(raw).Authenticate(ctx, &etcdserverpb.AuthenticateRequest{Name: set.User,
				Password: set.Password})
			if err == nil {
				c.token = got.Token
			}
			return err
		})
		if is(err, rpctypes.ErrGRPCAuthNotEnabled) {
			err = nil // whoever may read with a password may read without
		}
	}
	if err != nil {
		c.close()
		return nil, fmt.Errorf("authenticating: %w", err)
	}
	return c, nil
}

func (c *conn) close() { _ = c.grpc.Close() } // it says that it was closed before

// context adds what each call carries: who calls, and that a member without a leader is of no use.
func (c *conn) context(ctx context.Context) context.Context {
	fields := []string{rpctypes.MetadataRequireLeaderKey, rpctypes.MetadataHasLeader}
	if c.token != "" {
		fields = append(fields, rpctypes.TokenFieldNameGRPC, c.token)
	}
	return metadata.AppendToOutgoingContext(ctx, fields...)
}

// call makes a call within the limit.
func (c *conn) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithCancel(c.context(ctx))
	defer cancel()
	late := make(chan struct{})
	defer c.clock.At(c.clock.Now()+c.limit, func() { close(late); cancel() })()
	err := f(ctx)
	select {
	case <-late:
		if err != nil {
			err = errLate
		}
	default:
	}
	return err
}

var errLate = errors.New("no answer in time")

// all reads the keys under the prefix as they are at one revision: a given one, or the one that the first answer tells.
// Header is that of the first answer.
func (c *conn) all(ctx context.Context, rev int64, keysOnly bool) (header *etcdserverpb.ResponseHeader, kvs []*mvccpb.KeyValue, err error) {
	r := &etcdserverpb.RangeRequest{Key: []byte(c.prefix), RangeEnd: prefixEnd(c.prefix), Limit: pageSize, Revision: rev, KeysOnly: keysOnly}
	for more := true; more; {
		err := c.call(ctx, func(ctx context.Context) error {
			got, err := c.kv.Range(ctx, r)
			if err != nil {
				return err
			}
			if header == nil {
				header = got.Header
			}
			if r.Revision == 0 && got.Header != nil {
				r.Revision = got.Header.Revision
			}
			kvs, more = append(kvs, got.Kvs...), got.More && len(got.Kvs) > 0
			return nil
		})
		if err != nil {
			return nil, nil, fmt.Errorf("reading the keys: %w", err)
		}
		if more {
			r.Key = append([]byte(string(kvs[len(kvs)-1].Key)), 0)
		}
	}
	return header, kvs, nil
}

// prefixEnd is the end of the range of keys with a prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// is tells whether an error is one that etcd gives, as a call's or as a word on a watch.
func is(err, etcds error) bool {
	return err != nil && rpctypes.ErrorDesc(cause(err)) == rpctypes.ErrorDesc(etcds)
}

// cause finds the error that the others were put round.
func cause(err error) error {
	for {
		if _, ok := err.(interface{ GRPCStatus() *status.Status }); ok {
			return err
		}
		inner := errors.Unwrap(err)
		if inner == nil {
			return err
		}
		err = inner
	}
}

// denied tells whether an error is about who calls: with a new token it may go well.
func denied(err error) bool {
	return is(err, rpctypes.ErrGRPCInvalidAuthToken) || is(err, rpctypes.ErrGRPCAuthOldRevision) || is(err, rpctypes.ErrGRPCUserEmpty)
}
