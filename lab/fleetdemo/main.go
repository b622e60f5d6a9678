// Command fleetdemo starts a router fleet on loopback, sends it a configuration and requests, kills a control process,
// shows that all goes on, and ends by itself.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"linenwheel.dev/linenwheel/lab/fleet"
)

// The figures of the demo.
const (
	within   = 20 * time.Second
	requests = 60
)

const configuration = `{"Revision":1,
"Routes":[{"Name":"draft","Hostname":"demo.example","PathPrefix":"/stream/","RouteType":"streaming","TimeoutMs":2000,"TargetLatencyMs":300,"Backend":"llm","MaxAttempts":2,"SessionAffinity":true,"StreamResume":true}],
"Backends":[{"Name":"llm"}],
"Tenants":[{"Name":"demo","ApiKeys":["demo-key"],"Unit":"token_count","RatePerS":1000000,"Burst":1000000}]}`

const change = `{"Revision":2,"Upsert":{"Routes":[{"Name":"lookup","Hostname":"demo.example","PathPrefix":"/lookup/","RouteType":"safe","TimeoutMs":900,"Backend":"llm"}]}}`

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleetdemo:", err)
		os.Exit(1)
	}
}

func run() error {
	folder, err := os.MkdirTemp("", "fleetdemo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	begin := time.Now()
	say := func(format string, args ...any) {
		fmt.Printf("%6.2f s  "+format+"\n", append([]any{time.Since(begin).Seconds()}, args...)...)
	}
	f, err := fleet.Start(fleet.Options{Control: 3, Data: 3, Raters: 4, Binaries: "bin", Folder: folder})
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }()
	say("three control and three data processes and four raters are started")
	if err := f.Configure(http.MethodPut, 0, configuration, within); err != nil {
		return err
	}
	say("configuration 1 is acknowledged: it is on the disks of all three")
	if err := f.AwaitServing("demo.example", "/stream/4", "demo-key", within); err != nil {
		return err
	}
	say("every data process serves it")
	if err := load(f, say); err != nil {
		return err
	}
	f.Control[0].Kill()
	say("%s is killed", f.Control[0].Name)
	if err := load(f, say); err != nil {
		return err
	}
	if err := f.Configure(http.MethodPatch, 1, change, within); err != nil {
		return err
	}
	say("configuration 2 is acknowledged by the two that are left")
	if err := f.AwaitServing("demo.example", "/lookup/", "demo-key", within); err != nil {
		return err
	}
	say("every data process serves it")
	if err := f.Boot(f.Control[0], false); err != nil {
		return err
	}
	say("%s is started again and catches up", f.Control[0].Name)
	return load(f, say)
}

// load sends requests to the data processes in turn and tells how many were served, and from how many kept prefixes.
func load(f *fleet.Fleet, say func(string, ...any)) error {
	served := 0
	for i := range requests {
		id := fmt.Sprintf("%016x", time.Now().UnixNano())
		status, _, err := f.Request(f.Data[i%len(f.Data)], "demo.example", "/stream/4", "demo-key", id)
		if err != nil {
			return err
		}
		if status == http.StatusOK {
			served++
		}
	}
	read, found := 0, 0
	for _, rater := range f.Raters {
		r, k := rater.Engine().Tokens()
		read, found = read+r, found+k
	}
	say("%d of %d streams served; of all prompt tokens so far %d were read, %d found kept", served, requests, read, found)
	return nil
}
