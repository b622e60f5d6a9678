// Package thriftpeers are clients and raters that speak Thrift through the official library for Go, so that the node is held
// against a codec that is not its own. They speak the methods of api/rating.thrift, by hand: nothing is generated.
package thriftpeers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/apache/thrift/lib/go/thrift"
)

// Form is how a peer writes messages.
type Form struct{ Protocol, Transport string } // binary or compact; framed, unframed or header

func (f Form) String() string { return f.Protocol + " " + f.Transport }

// Forms are all of them.
var Forms = []Form{{"binary", "framed"}, {"compact", "framed"}, {"binary", "unframed"}, {"compact", "unframed"},
	{"binary", "header"}, {"compact", "header"}}

// over puts the form on a connection.
func (f Form) over(conn net.Conn) thrift.TProtocol {
	conf := &thrift.TConfiguration{}
	var t thrift.TTransport = thrift.NewTSocketFromConnConf(conn, conf)
	switch f.Transport {
	case "header":
		id := thrift.THeaderProtocolBinary
		if f.Protocol == "compact" {
			id = thrift.THeaderProtocolCompact
		}
		conf.THeaderProtocolID = &id
		return thrift.NewTHeaderProtocolConf(t, conf)
	case "framed":
		t = thrift.NewTFramedTransportConf(t, conf)
	default:
		t = thrift.NewTBufferedTransport(t, 4096)
	}
	if f.Protocol == "compact" {
		return thrift.NewTCompactProtocolConf(t, conf)
	}
	return thrift.NewTBinaryProtocolConf(t, conf)
}

// Args are a call's arguments. Those that are empty are not written.
type Args struct {
	ID       string
	Deadline int32
	Owner    string
	Key      string
	Retry    bool
	Body     string
}

// Write is that of the library's TStruct.
func (a *Args) Write(ctx context.Context, p thrift.TProtocol) error {
	w := writer{ctx, p, nil}
	w.do(p.WriteStructBegin(ctx, ""))
	w.begin(1)
	w.text(1, a.ID)
	if a.Deadline != 0 {
		w.do(p.WriteFieldBegin(ctx, "", thrift.I32, 2), p.WriteI32(ctx, a.Deadline))
	}
	w.text(3, a.Owner)
	w.text(4, a.Key)
	if a.Retry {
		w.do(p.WriteFieldBegin(ctx, "", thrift.BOOL, 5), p.WriteBool(ctx, true))
	}
	w.end()
	w.text(2, a.Body)
	w.do(p.WriteFieldStop(ctx), p.WriteStructEnd(ctx))
	return w.err
}

// Read is that of the library's TStruct.
func (a *Args) Read(ctx context.Context, p thrift.TProtocol) error {
	return fields(ctx, p, func(kind thrift.TType, id int16) (err error) {
		switch {
		case id == 2 && kind == thrift.STRING:
			a.Body, err = p.ReadString(ctx)
			return err
		case id != 1 || kind != thrift.STRUCT:
			return p.Skip(ctx, kind)
		}
		return fields(ctx, p, func(kind thrift.TType, id int16) (err error) {
			switch id {
			case 1:
				a.ID, err = p.ReadString(ctx)
			case 2:
				a.Deadline, err = p.ReadI32(ctx)
			case 3:
				a.Owner, err = p.ReadString(ctx)
			case 4:
				a.Key, err = p.ReadString(ctx)
			case 5:
				a.Retry, err = p.ReadBool(ctx)
			default:
				err = p.Skip(ctx, kind)
			}
			return err
		})
	})
}

// Result is what became of a call: the value, or an exception of api/rating.thrift.
type Result struct {
	Value    string
	Declined bool
	Wait     int32 // ms, with Declined
	Failed   bool
	Reason   string
}

// Write is that of the library's TStruct.
func (r *Result) Write(ctx context.Context, p thrift.TProtocol) error {
	w := writer{ctx, p, nil}
	w.do(p.WriteStructBegin(ctx, ""))
	switch {
	case r.Declined:
		w.begin(1)
		w.text(2, r.Reason)
		w.end()
	case r.Failed:
		w.begin(2)
		w.text(1, r.Reason)
		w.end()
	default:
		w.text(0, r.Value)
	}
	w.do(p.WriteFieldStop(ctx), p.WriteStructEnd(ctx))
	return w.err
}

// Read is that of the library's TStruct.
func (r *Result) Read(ctx context.Context, p thrift.TProtocol) error {
	return fields(ctx, p, func(_ thrift.TType, id int16) (err error) {
		if id == 0 {
			r.Value, err = p.ReadString(ctx)
			return err
		}
		r.Declined, r.Failed = id == 1, id == 2
		return fields(ctx, p, func(kind thrift.TType, _ int16) (err error) {
			switch kind {
			case thrift.I32:
				r.Wait, err = p.ReadI32(ctx)
			case thrift.STRING:
				r.Reason, err = p.ReadString(ctx)
			default:
				err = p.Skip(ctx, kind)
			}
			return err
		})
	})
}

// writer keeps the first error of many writes.
type writer struct {
	ctx context.Context
	p   thrift.TProtocol
	err error
}

func (w *writer) do(errs ...error) { w.err = errors.Join(append(errs, w.err)...) }

func (w *writer) begin(id int16) {
	w.do(w.p.WriteFieldBegin(w.ctx, "", thrift.STRUCT, id), w.p.WriteStructBegin(w.ctx, ""))
}

func (w *writer) end() { w.do(w.p.WriteFieldStop(w.ctx), w.p.WriteStructEnd(w.ctx)) }

func (w *writer) text(id int16, s string) {
	if s != "" {
		w.do(w.p.WriteFieldBegin(w.ctx, "", thrift.STRING, id), w.p.WriteString(w.ctx, s))
	}
}

func fields(ctx context.Context, p thrift.TProtocol, field func(thrift.TType, int16) error) error {
	if _, err := p.ReadStructBegin(ctx); err != nil {
		return err
	}
	for {
		_, kind, id, err := p.ReadFieldBegin(ctx)
		if err != nil {
			return err
		}
		if kind == thrift.STOP {
			return p.ReadStructEnd(ctx)
		}
		if err := errors.Join(field(kind, id), p.ReadFieldEnd(ctx)); err != nil {
			return err
		}
	}
}

// Client is one connection of a client.
type Client struct {
	conn net.Conn
	c    *thrift.TStandardClient
}

// Dial connects to a front.
func Dial(address string, f Form) (*Client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	p := f.over(conn)
	return &Client{conn, thrift.NewTStandardClient(p, p)}, nil
}

// Call makes a call and waits for its result. An application exception is a thrift.TApplicationException.
func (c *Client) Call(method string, a *Args) (r Result, err error) {
	_, err = c.c.Call(context.Background(), method, a, &r)
	return r, err
}

// Tell makes a one-way call, which this library writes as an ordinary one whose result it does not wait for.
func (c *Client) Tell(method string, a *Args) error {
	_, err := c.c.Call(context.Background(), method, a, nil)
	return err
}

// Close ends the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Heard is a call that a rater got.
type Heard struct {
	Method string
	OneWay bool
	Args   Args
}

// Rater answers calls.
type Rater struct {
	form   Form
	answer func(Heard) (Result, error)
	inner  net.Listener
	work   sync.WaitGroup
	mu     sync.Mutex
	conns  map[net.Conn]bool
}

// Listen starts a rater on loopback; answer is called once a call, from any goroutine. Its error becomes an application
// exception, or ends the connection if it is ErrHangUp.
func Listen(f Form, answer func(Heard) (Result, error)) (*Rater, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Rater{form: f, answer: answer, inner: inner, conns: map[net.Conn]bool{}}
	r.work.Go(func() {
		for {
			conn, err := inner.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[conn] = true
			r.mu.Unlock()
			r.work.Go(func() {
				_ = r.serve(conn) // its client has gone, or is told nothing more
				_ = conn.Close()
			})
		}
	})
	return r, nil
}

// Address is where it listens.
func (r *Rater) Address() string { return r.inner.Addr().String() }

// Close ends it.
func (r *Rater) Close() {
	_ = r.inner.Close()
	r.mu.Lock()
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.work.Wait()
}

// ErrHangUp has a rater end the connection instead of answering.
var ErrHangUp = errors.New("hang up")

// serve answers the calls of one connection.
func (r *Rater) serve(conn net.Conn) error {
	ctx, p := context.Background(), r.form.over(conn)
	for {
		name, kind, seq, err := p.ReadMessageBegin(ctx)
		if err != nil {
			return err
		}
		h := Heard{Method: name, OneWay: kind == thrift.ONEWAY}
		if err := errors.Join(h.Args.Read(ctx, p), p.ReadMessageEnd(ctx)); err != nil {
			return fmt.Errorf("reading a call of %s: %w", name, err)
		}
		result, wrong := r.answer(h)
		if errors.Is(wrong, ErrHangUp) {
			return wrong
		}
		if h.OneWay {
			continue
		}
		if wrong != nil {
			x := thrift.NewTApplicationException(thrift.INTERNAL_ERROR, wrong.Error())
			err = errors.Join(p.WriteMessageBegin(ctx, name, thrift.EXCEPTION, seq), x.Write(ctx, p))
		} else {
			err = errors.Join(p.WriteMessageBegin(ctx, name, thrift.REPLY, seq), result.Write(ctx, p))
		}
		if err := errors.Join(err, p.WriteMessageEnd(ctx), p.Flush(ctx)); err != nil {
			return err
		}
	}
}
