package points

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"linenwheel.dev/linenwheel/lab/site"
)

// Without is what a fleet of three nodes did while two of its three keepers were away.
type Without struct {
	Setting string      `json:"setting"`
	Reads   map[int]int `json:"reads"`           // answers by status, of a class that may run twice
	Charges map[int]int `json:"charges"`         // and of one that must not
	Slowest float64     `json:"slowest_ms"`      // answer of all
	Back    float64     `json:"back_ms"`         // from the keepers' start until a charge was answered
	Untrue  int         `json:"untrue_refusals"` // charges that were refused and had run
}

// settings are those that say what a node does without a majority.
var settings = []struct{ name, text string }{
	{"no policy of the fleet, quotas in equal parts", "[quota]\non = true\nrequests = 1000\nlearn = false\n"},
	{"policy.without = refuse", "[policy]\non = true\nlease = \"2s\"\n"},
	{"policy.without = go-on", "[policy]\non = true\nlease = \"2s\"\nwithout = \"go-on\"\n"},
	{"quota.leased = 0.95, lease 2 s", "[quota]\non = true\nrequests = 100\nlearn = false\nleased = 0.95\nlease = \"2s\"\n"},
	{"quota.leased = 0.95, lease 2 min", "[quota]\non = true\nrequests = 100\nlearn = false\nleased = 0.95\nlease = \"2m\"\n"},
}

// Majority takes two of three keepers away for a time, for each setting, under 20 reads and 10 charges a second.
func Majority(ctx context.Context, o Options, span time.Duration) (list []Without, err error) {
	for i, set := range settings {
		one := o
		one.Dir = fmt.Sprintf("%s/m%d", o.Dir, i)
		w, err := without(ctx, one, set.name, set.text, span)
		if err != nil {
			return list, fmt.Errorf("%s: %w", set.name, err)
		}
		list = append(list, w)
	}
	return list, nil
}

func without(ctx context.Context, o Options, name, extra string, span time.Duration) (w Without, err error) {
	w = Without{Setting: name, Reads: map[int]int{}, Charges: map[int]int{}}
	s, err := site.New(ctx, site.Options{Node: o.Node, Keeper: o.Keeper, Dir: o.Dir, Keepers: 3, Raters: 2, Group: 3, Tenants: []string{"morava"},
		Text: o.options() + extra, Peers: fmt.Sprintf("claim = %q\n", claim)})
	if err != nil {
		return w, err
	}
	defer s.Close()
	var nodes []*site.Node
	for i := range 3 {
		n, err := s.Add(ctx, fmt.Sprint("n", i))
		if err != nil {
			return w, err
		}
		nodes = append(nodes, n)
	}
	web := &http.Client{Transport: &http.Transport{}}
	defer web.CloseIdleConnections()
	ask := func(i int) {
		began := time.Now()
		if n := nodes[i%3]; i/3%3 > 0 {
			w.Reads[n.Get(web, "morava", fmt.Sprint("read-", i), deadline).Status]++
		} else {
			c := fmt.Sprint("c", i)
			said := n.Post(web, "morava", c, c, deadline).Status
			w.Charges[said]++
			if said == 503 && s.Ran(c) {
				w.Untrue++
			}
		}
		w.Slowest = max(w.Slowest, float64(time.Since(began))/1e6)
	}
	pace := func(from int, length time.Duration) int {
		end := time.Now().Add(length)
		for ; time.Now().Before(end) && ctx.Err() == nil; from++ {
			ask(from)
			time.Sleep(33 * time.Millisecond)
		}
		return from
	}
	next := pace(0, 3*time.Second) // so that leases are there
	clear(w.Reads)
	clear(w.Charges)
	w.Slowest = 0
	s.Keepers.Kill("k0")
	s.Keepers.Kill("k1")
	pace(next, span)
	began := time.Now()
	for _, k := range []string{"k0", "k1"} {
		if err := s.Keepers.Start(k); err != nil {
			return w, err
		}
	}
	for i := 0; ctx.Err() == nil; i++ {
		if c := fmt.Sprint("back", i); nodes[i%3].Post(web, "morava", c, c, deadline).Status == 200 {
			w.Back = float64(time.Since(began)) / 1e6
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return w, ctx.Err()
}
