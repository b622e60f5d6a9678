package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"linenwheel.dev/linenwheel/lab/load"
	"linenwheel.dev/linenwheel/lab/load/drive"
)

// loadFlags are the command line of the load tool.
type loadFlags struct {
	to, rate, clients, mix, spacing, jsonTo string
	classes, owners                         texts
	lasts, warmup, think, retryBase, late   time.Duration
	seed, run, requests                     uint64
	connections, retries, workers           int
	spin                                    time.Duration
	lateShare                               float64
	platform, retryAfter, quiet, selfCheck  bool
}

// texts is a flag that may come several times.
type texts []string

func (t *texts) String() string     { return strings.Join(*t, " ") }
func (t *texts) Set(s string) error { *t = append(*t, s); return nil }

const loadHelp = `It offers a server a load that a seed draws ahead, and says how long the answers took from the time at
which each request was due, so that a stall of the server is not hidden by requests that were never
sent. It measures its own lateness and calls a run void when it fell behind itself (status 1).

One of -rate and -clients says how much: levels with lengths, "500x10s,2000x10s" for steps and
"100-8000x1m" for a ramp. A level without a length lasts for -for. -rate is requests a second that
come whatever the server does (open loop); -clients is clients that each wait for their answer
and pause for -think (closed loop).

  linenwheel-lab load -to 127.0.0.1:8080 -rate 2000 -for 30s
  linenwheel-lab load -to 127.0.0.1:8080 -rate 100-4000x2m -platform \
      -class name=quote,weight=8,effect=safe,deadline=480ms \
      -class name=charge,weight=1,effect=unsafe,body=200..900,deadline=2s -owner acme=3 -owner zeta=1
  linenwheel-lab load -self-check`

func loadCommand(to streams) *ffcli.Command {
	var f loadFlags
	flags := flagSet("linenwheel-lab load", to)
	flags.StringVar(&f.to, "to", "", "the server: HOST:PORT, or http://HOST:PORT/PATH for a single class")
	flags.StringVar(&f.rate, "rate", "", "open loop: requests a second, with steps and ramps")
	flags.StringVar(&f.clients, "clients", "", "closed loop: clients, with steps and ramps")
	flags.DurationVar(&f.lasts, "for", 10*time.Second, "how long a level lasts that names no length")
	flags.DurationVar(&f.warmup, "warmup", 2*time.Second, "at the first level before it; not counted")
	flags.StringVar(&f.spacing, "spacing", "poisson", "of arrivals or of thinking: poisson or steady")
	flags.DurationVar(&f.think, "think", 0, "closed loop: mean pause between an answer and the next request")
	flags.Uint64Var(&f.seed, "seed", 1, "draws times, classes, owners and sizes")
	flags.Uint64Var(&f.run, "run", 0, "draws ids and keys, which a server must not have seen; 0 = a new one")
	flags.Uint64Var(&f.requests, "requests", 0, "at most so many, the warm-up's included; 0 = no limit")
	flags.IntVar(&f.connections, "connections", 256, "at most so many open at once")
	flags.Var(&f.classes, "class", "`NAME=VALUE,...` of name, weight, effect (safe, keyed, unsafe), method, path, "+
		"body (200 or 200..4000 bytes), deadline, header; may come several times")
	flags.Var(&f.owners, "owner", "`NAME=SHARE` of the requests; may come several times")
	flags.StringVar(&f.mix, "mix", "", "a TOML `file` of [[class]] and [[owner]] tables, in place of both")
	flags.BoolVar(&f.platform, "platform", false, "send Req-Id, Req-Owner, Req-Deadline-Ms and Idempotency-Key")
	flags.IntVar(&f.retries, "retries", 0, "further requests that a client sends when it is refused")
	flags.DurationVar(&f.retryBase, "retry-base", 50*time.Millisecond, "mean pause before the first; doubles")
	flags.BoolVar(&f.retryAfter, "retry-after", true, "clients heed a longer Retry-After")
	flags.IntVar(&f.workers, "workers", 0, "threads; 0 = a quarter of the processors, 4 at most")
	flags.DurationVar(&f.spin, "spin", 50*time.Microsecond, "stay awake for so long at most before a request is due")
	flags.DurationVar(&f.late, "late", time.Millisecond, "a request taken up later than this is late")
	flags.Float64Var(&f.lateShare, "late-share", 0.01, "the run is void if more than this share is late")
	flags.StringVar(&f.jsonTo, "json", "", "write the result as JSON to a `file`; - is the standard output, without the table")
	flags.BoolVar(&f.quiet, "quiet", false, "no line each second")
	flags.BoolVar(&f.selfCheck, "self-check", false, "check the tool against its null server and find its limit here")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "linenwheel-lab load -to ADDRESS (-rate LEVELS | -clients LEVELS) [flags]",
		ShortHelp:  "offer a load to any HTTP/1.1 server and measure",
		LongHelp:   loadHelp,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if f.selfCheck {
				return selfCheck(ctx, to)
			}
			return f.play(ctx, to)
		},
	}
}

// play runs the load that the flags describe.
func (f *loadFlags) play(ctx context.Context, to streams) error {
	plan, target, err := f.plan()
	if err != nil {
		return usage(err)
	}
	set := drive.Settings{Target: target, Workers: f.workers, Spin: ms(f.spin)}
	if !f.quiet && terminal(to.errs) {
		set.Live = func(i load.Interval) { fmt.Fprintln(to.errs, plan.Live(i)) }
	}
	result, err := drive.Run(ctx, plan, set)
	if err != nil {
		return err
	}
	if f.jsonTo != "-" {
		if err := result.Print(to.out); err != nil {
			return err
		}
	}
	if f.jsonTo != "" {
		if err := writeJSON(f.jsonTo, result, to.out); err != nil {
			return err
		}
	}
	if len(result.Void) > 0 {
		return errVerdict
	}
	return nil
}

// plan makes the plan and the address that it is for.
func (f *loadFlags) plan() (*load.Plan, string, error) {
	p := &load.Plan{Closed: f.clients != "", Warmup: ms(f.warmup), Spacing: load.Spacing(f.spacing), Think: ms(f.think),
		Seed: f.seed, Run: f.run, Requests: f.requests, Connections: f.connections, Platform: f.platform,
		Retry:  load.Retry{Most: f.retries, Base: ms(f.retryBase), Heeds: f.retryAfter},
		Limits: load.Limits{Late: ms(f.late), Share: f.lateShare}}
	if p.Run == 0 {
		p.Run = uint64(time.Now().UnixNano())
	}
	if (f.rate == "") == (f.clients == "") {
		return nil, "", fmt.Errorf("want one of -rate and -clients")
	}
	var err error
	if p.Stages, err = load.ParseStages(f.rate+f.clients, ms(f.lasts)); err != nil {
		return nil, "", err
	}
	target, path, err := address(f.to)
	if err != nil {
		return nil, "", err
	}
	if p.Mix, err = f.classMix(path); err != nil {
		return nil, "", err
	}
	return p, target, p.Check()
}

// address splits what -to names.
func address(text string) (target, path string, err error) {
	if text == "" {
		return "", "", fmt.Errorf("want -to")
	}
	if !strings.Contains(text, "://") {
		return text, "", nil
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return "", "", fmt.Errorf("-to %q: want HOST:PORT or http://HOST:PORT/PATH", text)
	}
	if u.Port() == "" {
		u.Host += ":80"
	}
	return u.Host, u.RequestURI(), nil
}

// classMix reads the classes and owners; path is that of -to, for a mix that names no class.
func (f *loadFlags) classMix(path string) (load.Mix, error) {
	if f.mix != "" {
		if len(f.classes) > 0 || len(f.owners) > 0 {
			return load.Mix{}, fmt.Errorf("-mix goes without -class and -owner")
		}
		text, err := os.ReadFile(f.mix)
		if err != nil {
			return load.Mix{}, err
		}
		return load.ReadMix(f.mix, string(text))
	}
	var mix load.Mix
	for _, text := range f.classes {
		class, err := load.ParseClass(text)
		if err != nil {
			return mix, err
		}
		mix.Classes = append(mix.Classes, class)
	}
	if len(mix.Classes) == 0 {
		if path == "" {
			path = "/"
		}
		mix.Classes = []load.Class{{Name: "all", Path: path}}
	}
	for _, text := range f.owners {
		name, share, _ := strings.Cut(text, "=")
		owner := load.Owner{Name: name, Share: 1}
		if share != "" {
			var err error
			if owner.Share, err = strconv.ParseFloat(share, 64); err != nil {
				return mix, fmt.Errorf("owner %q: want NAME=SHARE", text)
			}
		}
		mix.Owners = append(mix.Owners, owner)
	}
	return mix, mix.Complete("-class and -owner", "")
}

func ms(d time.Duration) float64 { return float64(d) / 1e6 }

// terminal says whether a person reads what is written there.
func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// writeJSON writes a value to a file, or to out for "-".
func writeJSON(name string, value any, out io.Writer) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	text = append(text, '\n')
	if name == "-" {
		_, err = out.Write(text)
		return err
	}
	return os.WriteFile(name, text, 0o644)
}
