package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/log"
	"linenwheel.dev/linenwheel/internal/node/config"
	"linenwheel.dev/linenwheel/internal/node/endpoints/agent"
	"linenwheel.dev/linenwheel/internal/node/endpoints/etcd"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/systemd"
)

const optionsVariable = "LINENWHEEL_OPTIONS"

// Times of the answering side.
const (
	headLimit = 5 * time.Second // for a caller's request
	endLimit  = time.Second     // for the answers that are on at the end
)

// run carries out one command line and returns the exit status: 1 for a failure, 2 for a bad command line or options.
func run(ctx context.Context, args []string, getenv func(string) string, out, errs io.Writer, again <-chan os.Signal) int {
	flags := flag.NewFlagSet("linenwheel-etcd", flag.ContinueOnError)
	flags.SetOutput(errs)
	path := flags.String("options", getenv(optionsVariable), "the options `file`, whose table [inventory.etcd] counts")
	check := flags.Bool("check", false, "read the options and the files that they name, print every fault, and end")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		return 2 // the flag set has said why
	case flags.NArg() > 0:
		fmt.Fprintf(errs, "linenwheel-etcd: does not take %q\n", flags.Arg(0))
		return 2
	}
	a := &program{path: *path, clock: clock.NewSystem(), level: new(slog.LevelVar)}
	o, set, faults := a.read()
	if len(faults) > 0 {
		for _, f := range faults {
			fmt.Fprintln(errs, "linenwheel-etcd: configuration:", f)
		}
		return 2
	}
	if *check {
		if _, err := fmt.Fprintln(out, "linenwheel-etcd: the configuration is good"); err != nil {
			fmt.Fprintln(errs, "linenwheel-etcd:", err)
			return 1
		}
		return 0
	}
	if err := a.serve(ctx, o, set, errs, again); err != nil {
		fmt.Fprintln(errs, "linenwheel-etcd:", err)
		return 1
	}
	return 0
}

// program is a running process.
type program struct {
	path  string
	clock clock.Clock
	level *slog.LevelVar
	log   *slog.Logger
	flood log.Interval
}

// read takes the options and the files that they name.
func (a *program) read() (*options.Options, *etcd.Settings, []*config.FieldError) {
	file, faults := options.Load(a.path)
	if len(faults) > 0 {
		return nil, nil, faults
	}
	o := &file.Options
	fault := func(field string, err error) {
		faults = append(faults, &config.FieldError{File: a.path, Field: "inventory.etcd." + field, Err: err})
	}
	e := &o.Inventory.Etcd
	set := &etcd.Settings{Endpoints: e.Endpoints, Prefix: e.Prefix, User: e.User, Password: e.Password, History: e.History,
		MaxHosts: o.Inventory.MostHosts, CallTimeout: e.CallLimit.Ms, ProgressInterval: e.AskEvery.Ms,
		SilenceTimeout: e.Silence.Ms, CheckInterval: e.CheckEvery.Ms, FirstPause: e.FirstPause.Ms, LastPause: e.LastPause.Ms}
	if len(e.Endpoints) == 0 {
		fault("endpoints", errors.New("there is none"))
	}
	for _, at := range e.Endpoints {
		if _, _, err := net.SplitHostPort(at); err != nil {
			fault("endpoints", fmt.Errorf("%q is not host:port", at))
		}
	}
	if e.PasswordFile != "" {
		text, err := os.ReadFile(e.PasswordFile)
		if err != nil {
			fault("password_file", err)
		}
		set.Password = strings.TrimRight(string(text), "\r\n")
	}
	set.TLS = secure(e, fault)
	return o, set, faults
}

// secure reads the certificates; nil = connections are not encrypted.
func secure(e *options.Etcd, fault func(string, error)) *tls.Config {
	if !e.TLS && e.CAFile == "" && e.CertFile == "" {
		return nil
	}
	conf := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: e.ServerName}
	if e.CAFile != "" {
		text, err := os.ReadFile(e.CAFile)
		conf.RootCAs = x509.NewCertPool()
		if err == nil && !conf.RootCAs.AppendCertsFromPEM(text) {
			err = fmt.Errorf("%s holds no certificate", e.CAFile)
		}
		if err != nil {
			fault("ca_file", err)
		}
	}
	if e.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(e.CertFile, e.KeyFile)
		if err != nil {
			fault("cert_file", err)
		}
		conf.Certificates = []tls.Certificate{cert}
	}
	return conf
}

// logger makes the log as the options have it.
func (a *program) logger(o *options.Options, errs io.Writer) *slog.Logger {
	a.apply(o)
	format := log.Text
	if o.Log.Format == log.JSON.String() {
		format = log.JSON
	}
	return log.Sparse(log.On(log.New(errs, format, a.level), a.clock), a.clock, &a.flood).With("part", "etcd")
}

// apply has the options of the log hold from now on.
func (a *program) apply(o *options.Options) {
	level := slog.LevelInfo
	_ = level.UnmarshalText([]byte(o.Log.Level)) // one of those that slog knows, or the options would be faulty
	a.level.Set(level)
	a.flood.Set(o.Log.FloodInterval.Ms)
}

// told passes what the source says on to the book.
type told struct {
	book  *agent.Store
	clock clock.Clock
	first func() // when there is a list, or no endpoint gives one
}

func (t told) change(epoch string, u etcd.Update) agent.Change {
	return agent.Change{Whole: u.Whole, Epoch: epoch, Revision: uint64(u.Revision), Hosts: u.Hosts, Confirm: u.Confirm}
}

// Update takes what has changed.
func (t told) Update(epoch string, u etcd.Update) {
	t.book.Apply(t.change(epoch, u))
	t.first()
}

// UpToDate takes that nothing has.
func (t told) UpToDate() { t.book.MarkAvailable(t.clock.Now()) }

// Unavailable takes that the cluster cannot be asked.
func (t told) Unavailable(err error) {
	t.book.MarkUnavailable(err.Error())
	t.first()
}

// Reread takes a list that was read anew.
func (t told) Reread(epoch string, u etcd.Update) {
	t.book.Apply(t.change(epoch, u))
	t.book.MarkReread()
}

// serve works until ctx ends. A signal has it read the options again.
func (a *program) serve(ctx context.Context, o *options.Options, set *etcd.Settings, errs io.Writer, again <-chan os.Signal) error {
	a.log = a.logger(o, errs)
	manager, err := systemd.FromEnvironment(func(err error) { a.log.Warn("the service manager cannot be told", "error", err) })
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.Inventory.Etcd.Agent)
	if err != nil {
		return fmt.Errorf("listening on %s: %w", o.Inventory.Etcd.Agent, err)
	}
	book := agent.NewStore(options.SourceEtcd)
	ready := sync.OnceFunc(func() { manager.Ready(systemd.Serving) })
	source := etcd.New(*set, a.clock, a.log, told{book, a.clock, ready})
	server := &http.Server{Handler: (&agent.Server{Store: book, Clock: a.clock, RequestReread: source.RequestReread}).Handler(),
		ReadHeaderTimeout: headLimit, ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelDebug)}
	back, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	defer func() {
		cancel()
		work.Wait()
	}()
	work.Go(func() { source.Run(back) })
	failed := make(chan error, 1)
	work.Go(func() { failed <- server.Serve(listener) })
	a.log.Info("the agent answers nodes", "address", listener.Addr().String(), "endpoints", set.Endpoints, "prefix", set.Prefix)
	for {
		select {
		case <-again:
			a.reload(source)
		case err := <-failed:
			return fmt.Errorf("answering nodes: %w", err)
		case <-ctx.Done():
			manager.Stopping("ending")
			end, stop := context.WithTimeout(context.WithoutCancel(ctx), endLimit)
			defer stop()
			if server.Shutdown(end) != nil { // calls that wait for changes
				_ = server.Close()
			}
			a.log.Info("the agent has stopped")
			return nil
		}
	}
}

// reload reads the options again. The agent's address waits for the next start.
func (a *program) reload(source *etcd.Source) {
	o, set, faults := a.read()
	if len(faults) > 0 {
		a.log.Error("the new options are bad and the old ones stay", "error", faults[0])
		return
	}
	a.apply(o)
	source.SetSettings(*set)
	a.log.Info("the options were read again", "endpoints", set.Endpoints, "prefix", set.Prefix)
}
