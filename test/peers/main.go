// Peers holds a node against clients and raters that nobody here wrote: net/http and fasthttp on both sides, and curl and
// Node.js where the programs are there. Every answer is checked to the byte. It prints a table for each rater and ends with
// status 1 if anything is wrong.
//
//	go run ./test/peers [-go] [-idle]     -go leaves out what is no Go package
//
// With -idle it counts instead what becomes of requests that cross the close of an idle connection.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// rater is a server that a node can be put in front of.
type rater struct {
	name  string
	start func() (address string, stop func(), err error)
}

func main() {
	only := flag.Bool("go", false, "Go packages only")
	crossing := flag.Bool("idle", false, "requests that cross the close of an idle connection")
	flag.Parse()
	raters := []rater{{"net/http", goRater}, {"fasthttp", fastRater}}
	clients := []client{goClient{}, fastClient{}, rawClient{}}
	if !*only {
		if _, err := exec.LookPath("curl"); err == nil {
			clients = append(clients, curlClient{})
		}
		if _, err := exec.LookPath("node"); err == nil {
			script := filepath.Join("test", "peers", "peer.js")
			raters = append(raters, rater{"Node.js", func() (string, func(), error) { return nodeRater(script) }})
			clients = append(clients, nodeClient{script, false}, nodeClient{script, true})
		}
	}
	if *crossing {
		if err := idle(clients); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	wrong := 0
	for _, r := range raters {
		rows, faults, err := play(r, clients)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("\nRater: %s\n\n%s\n", r.name, strings.Join(rows, "\n"))
		for _, f := range faults {
			fmt.Println("\n" + f)
		}
		wrong += len(faults)
	}
	if wrong > 0 {
		os.Exit(1)
	}
}

// play has every client do every exchange with a node in front of a rater. It gives the rows of a table and what was wrong.
func play(r rater, clients []client) (rows, faults []string, err error) {
	behind, stop, err := r.start()
	if err != nil {
		return nil, nil, err
	}
	defer stop()
	address, end, err := startNode(behind, patientOptions())
	if err != nil {
		return nil, nil, err
	}
	defer end()
	head, line := "| exchange |", "| --- |"
	for _, c := range clients {
		head += " " + c.name() + " |"
		line += " --- |"
	}
	rows = []string{head, line}
	for i, e := range exchanges() {
		row := "| " + e.name + " |"
		for _, c := range clients {
			cell, err := one(c, address, exchanges()[i]) // with new ids
			if err != nil {
				faults = append(faults, fmt.Sprintf("%s to %s, %s: %v", c.name(), r.name, e.name, err))
			}
			row += " " + cell + " |"
		}
		rows = append(rows, row)
	}
	return rows, faults, nil
}

// one has a client do an exchange.
func one(c client, address string, e exchange) (cell string, err error) {
	asks := make([]ask, len(e.asks))
	tells := make([]bool, len(e.asks))
	for i, a := range e.asks {
		ok := false
		if tells[i], ok = c.can(a); !ok {
			return "-", nil
		}
		asks[i] = a
	}
	answers, err := c.do(address, asks)
	if err != nil {
		return "**wrong**", err
	}
	if len(answers) != len(asks) {
		return "**wrong**", fmt.Errorf("%d answers to %d requests", len(answers), len(asks))
	}
	for i, a := range asks {
		if err := check(a, answers[i], tells[i]); err != nil {
			return "**wrong**", fmt.Errorf("request %d: %w", i+1, err)
		}
	}
	return "ok", nil
}

// nodeRater is the server of Node.js.
func nodeRater(script string) (address string, stop func(), err error) {
	run := exec.Command("node", script, "rater")
	run.Stderr = os.Stderr
	out, err := run.StdoutPipe()
	if err != nil {
		return "", nil, err
	}
	if err := run.Start(); err != nil {
		return "", nil, err
	}
	stop = func() {
		_ = run.Process.Kill()
		_ = run.Wait()
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		stop()
		return "", nil, fmt.Errorf("starting Node.js: %w", err)
	}
	return strings.TrimSpace(line), stop, nil
}
