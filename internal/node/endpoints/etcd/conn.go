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
	pageSize         = 2000     // keys in a response
	maxResponseBytes = 64 << 20 // bytes: values may be up to 1.5 MiB each
)

// conn is a connection to one member.
type conn struct {
	clock   clock.Clock
	timeout float64 // milliseconds for a call
	grpc    *grpc.ClientConn
	kv      etcdserverpb.KVClient
	token   string
	prefix  string
}

// dial prepares a connection, which is established by the first call.
func dial(addr string, set *Settings) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if set.TLS != nil {
		creds = credentials.NewTLS(set.TLS)
	}
	options := []grpc.DialOption{grpc.WithTransportCredentials(creds), grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes))}
	if set.Dial != nil {
		options = append(options, grpc.WithContextDialer(set.Dial))
	}
	return grpc.NewClient("passthrough:///"+addr, options...)
}

// connect returns a connection to a member. It gets a token first if there is a user.
func (s *Source) connect(ctx context.Context, set *Settings, addr string) (*conn, error) {
	raw, err := dial(addr, set)
	if err != nil {
		return nil, err
	}
	c := &conn{clock: s.Clock, timeout: set.CallTimeout, grpc: raw, kv: etcdserverpb.NewKVClient(raw), prefix: set.Prefix}
	if set.User != "" {
		err = c.call(ctx, func(ctx context.Context) error {
			response, err := etcdserverpb.NewAuthClient(raw).Authenticate(ctx, &etcdserverpb.AuthenticateRequest{Name: set.User,
				Password: set.Password})
			if err == nil {
				c.token = response.Token
			}
			return err
		})
		if isEtcdError(err, rpctypes.ErrGRPCAuthNotEnabled) {
			err = nil // without authentication in the cluster, everybody may read
		}
	}
	if err != nil {
		c.close()
		return nil, fmt.Errorf("authenticating: %w", err)
	}
	return c, nil
}

func (c *conn) close() { _ = c.grpc.Close() } // the only error is that it was closed before

// context adds the metadata of each call: the token, and that a member without a leader must reject the call.
func (c *conn) context(ctx context.Context) context.Context {
	fields := []string{rpctypes.MetadataRequireLeaderKey, rpctypes.MetadataHasLeader}
	if c.token != "" {
		fields = append(fields, rpctypes.TokenFieldNameGRPC, c.token)
	}
	return metadata.AppendToOutgoingContext(ctx, fields...)
}

// call makes a call within the timeout.
func (c *conn) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithCancel(c.context(ctx))
	defer cancel()
	expired := make(chan struct{})
	defer c.clock.At(c.clock.Now()+c.timeout, func() { close(expired); cancel() })()
	err := f(ctx)
	select {
	case <-expired:
		if err != nil {
			err = errTimeout
		}
	default:
	}
	return err
}

var errTimeout = errors.New("no answer in time")

// readAll reads the keys under the prefix as they were at one revision: rev, or that of the first response if rev
// is 0. header is that of the first response.
func (c *conn) readAll(ctx context.Context, rev int64, keysOnly bool) (header *etcdserverpb.ResponseHeader, kvs []*mvccpb.KeyValue, err error) {
	request := &etcdserverpb.RangeRequest{Key: []byte(c.prefix), RangeEnd: prefixEnd(c.prefix), Limit: pageSize, Revision: rev, KeysOnly: keysOnly}
	for more := true; more; {
		err := c.call(ctx, func(ctx context.Context) error {
			response, err := c.kv.Range(ctx, request)
			if err != nil {
				return err
			}
			if header == nil {
				header = response.Header
			}
			if request.Revision == 0 && response.Header != nil {
				request.Revision = response.Header.Revision
			}
			kvs, more = append(kvs, response.Kvs...), response.More && len(response.Kvs) > 0
			return nil
		})
		if err != nil {
			return nil, nil, fmt.Errorf("reading the keys: %w", err)
		}
		if more {
			request.Key = append([]byte(string(kvs[len(kvs)-1].Key)), 0)
		}
	}
	return header, kvs, nil
}

// prefixEnd returns the end of the range of keys with a prefix.
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

// isEtcdError reports whether an error is a given one of etcd, from a call or from a watch.
func isEtcdError(err, want error) bool {
	return err != nil && rpctypes.ErrorDesc(cause(err)) == rpctypes.ErrorDesc(want)
}

// cause returns the first error in a chain that has a gRPC status, or the innermost one.
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

// isAuthError reports whether an error is about the caller's token: a new token may help.
func isAuthError(err error) bool {
	return isEtcdError(err, rpctypes.ErrGRPCInvalidAuthToken) || isEtcdError(err, rpctypes.ErrGRPCAuthOldRevision) || isEtcdError(err, rpctypes.ErrGRPCUserEmpty)
}
