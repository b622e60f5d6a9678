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

// Time limits of the HTTP server.
const (
	headerTimeout   = 5 * time.Second // for reading a request's header
	shutdownTimeout = time.Second     // for requests in progress at shutdown
)

// run executes one command line and returns the exit status: 0 for success, 1 for a failure, 2 for an invalid command
// line or invalid options. A signal on reloads makes it reload the options.
func run(ctx context.Context, args []string, getenv func(string) string, out, errs io.Writer, reloads <-chan os.Signal) int {
	flags := flag.NewFlagSet("linenwheel-etcd", flag.ContinueOnError)
	flags.SetOutput(errs)
	path := flags.String("options", getenv(optionsVariable), "the options `file`; its table [inventory.etcd] is used")
	check := flags.Bool("check", false, "read the options and the files that they name, print every fault, and exit")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		return 2 // the flag set has printed the error
	case flags.NArg() > 0:
		fmt.Fprintf(errs, "linenwheel-etcd: unexpected argument %q\n", flags.Arg(0))
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
	if err := a.serve(ctx, o, set, errs, reloads); err != nil {
		fmt.Fprintln(errs, "linenwheel-etcd:", err)
		return 1
	}
	return 0
}

// program is the state of the running process.
type program struct {
	path  string
	clock clock.Clock
	level *slog.LevelVar
	log   *slog.Logger
	flood log.Interval
}

// read loads the options and the files that they name, and returns every fault found in them.
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
	set.TLS = tlsConfig(e, fault)
	return o, set, faults
}

// tlsConfig loads the certificates and returns the TLS configuration, or nil if connections are not encrypted.
func tlsConfig(e *options.Etcd, fault func(string, error)) *tls.Config {
	if !e.TLS && e.CAFile == "" && e.CertFile == "" {
		return nil
	}
	conf := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: e.ServerName}
	if e.CAFile != "" {
		text, err := os.ReadFile(e.CAFile)
		conf.RootCAs = x509.NewCertPool()
		if err == nil && !conf.RootCAs.AppendCertsFromPEM(text) {
			err = fmt.Errorf("%s contains no certificate", e.CAFile)
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

// logger returns the logger that the options specify.
func (a *program) logger(o *options.Options, errs io.Writer) *slog.Logger {
	a.apply(o)
	format := log.Text
	if o.Log.Format == log.JSON.String() {
		format = log.JSON
	}
	return log.Sparse(log.On(log.New(errs, format, a.level), a.clock), a.clock, &a.flood).With("part", "etcd")
}

// apply applies the log level and the flood interval from the options.
func (a *program) apply(o *options.Options) {
	level := slog.LevelInfo
	_ = level.UnmarshalText([]byte(o.Log.Level)) // cannot fail: loading the options has validated the level
	a.level.Set(level)
	a.flood.Set(o.Log.FloodInterval.Ms)
}

// storeUpdater applies the notifications of the etcd source to the store.
type storeUpdater struct {
	store *agent.Store
	clock clock.Clock
	ready func() // called when there is a list, or when no endpoint can provide one
}

func (t storeUpdater) change(epoch string, u etcd.Update) agent.Change {
	return agent.Change{Whole: u.Whole, Epoch: epoch, Revision: uint64(u.Revision), Hosts: u.Hosts, Confirm: u.Confirm}
}

// Update applies changes to the list.
func (t storeUpdater) Update(epoch string, u etcd.Update) {
	t.store.Apply(t.change(epoch, u))
	t.ready()
}

// UpToDate records that the list is still current.
func (t storeUpdater) UpToDate() { t.store.MarkAvailable(t.clock.Now()) }

// Unavailable records that the cluster cannot be reached.
func (t storeUpdater) Unavailable(err error) {
	t.store.MarkUnavailable(err.Error())
	t.ready()
}

// Reread applies a list that was read again in full.
func (t storeUpdater) Reread(epoch string, u etcd.Update) {
	t.store.Apply(t.change(epoch, u))
	t.store.MarkReread()
}

// serve runs the agent until ctx is canceled. A signal on reloads makes it reload the options. The error is that of the
// service manager's environment, of listening, or of the HTTP server.
func (a *program) serve(ctx context.Context, o *options.Options, set *etcd.Settings, errs io.Writer, reloads <-chan os.Signal) error {
	a.log = a.logger(o, errs)
	manager, err := systemd.FromEnvironment(func(err error) { a.log.Warn("the service manager cannot be told", "error", err) })
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.Inventory.Etcd.Agent)
	if err != nil {
		return fmt.Errorf("listening on %s: %w", o.Inventory.Etcd.Agent, err)
	}
	store := agent.NewStore(options.SourceEtcd)
	ready := sync.OnceFunc(func() { manager.Ready(systemd.Serving) })
	source := etcd.New(*set, a.clock, a.log, storeUpdater{store, a.clock, ready})
	server := &http.Server{Handler: (&agent.Server{Store: store, Clock: a.clock, RequestReread: source.RequestReread}).Handler(),
		ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelDebug)}
	sourceCtx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	defer func() {
		cancel()
		work.Wait()
	}()
	work.Go(func() { source.Run(sourceCtx) })
	failed := make(chan error, 1)
	work.Go(func() { failed <- server.Serve(listener) })
	a.log.Info("serving the endpoint list to nodes", "address", listener.Addr().String(), "endpoints", set.Endpoints, "prefix", set.Prefix)
	for {
		select {
		case <-reloads:
			a.reload(source)
		case err := <-failed:
			return fmt.Errorf("serving nodes: %w", err)
		case <-ctx.Done():
			manager.Stopping("ending")
			end, stop := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
			defer stop()
			if server.Shutdown(end) != nil { // requests that wait for changes are still open
				_ = server.Close()
			}
			a.log.Info("agent stopped")
			return nil
		}
	}
}

// reload loads the options again and applies them. A change of the agent's address takes effect at the next start.
func (a *program) reload(source *etcd.Source) {
	o, set, faults := a.read()
	if len(faults) > 0 {
		a.log.Error("options reload failed; keeping the previous options", "error", faults[0])
		return
	}
	a.apply(o)
	source.SetSettings(*set)
	a.log.Info("options reloaded", "endpoints", set.Endpoints, "prefix", set.Prefix)
}
