package simline

import (
	"errors"
	"strings"
	"testing"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

const enlist = "ENLIST 5138197539985895 classes.count=2 classes.0.effect=read_like classes.0.name=look " +
	"classes.0.on_time_s=0.4 classes.0.hard_limit_s=0.8 classes.0.worth=1.0 classes.1.name=pay " +
	"classes.1.effect=idempotency_key classes.1.group=cell classes.1.key_ttl_s=2.5 discovery=ask group_size=3 " +
	"my_number=2 limits.max_attempts=3 limits.cancel=true locality=b machine_types=g1,g2 projects.count=1 " +
	"projects.0.name=acme projects.0.quota_rps=35.5 safety.fall_multiple=3.0 something.new=what weights=live zones=a,b"

func decodeEnlist(t testing.TB) (decide.Settings, uint64, *Names) {
	t.Helper()
	name, f := NewFields([]byte(enlist))
	s, seed, names := f.Enlist()
	if name != "ENLIST" || f.Err() != nil {
		t.Fatal(name, f.Err())
	}
	return s, seed, names
}

func TestEnlist(t *testing.T) {
	s, seed, _ := decodeEnlist(t)
	if seed != 5138197539985895 || s.Nodes != 3 || s.Node != 2 || s.Zone != 1 || !s.WatchEndpoints ||
		s.Weights != decide.WeightLive || !s.Limits.Cancel || s.Rules.OverloadMultiple != 3 {
		t.Errorf("seed %d, settings %+v", seed, s)
	}
	pay := decide.Class{Name: "pay", Effect: decide.Keyed, Group: decide.GroupCell, KeyTTL: 2500 * time.Millisecond}
	if len(s.Classes) != 2 || s.Classes[1] != pay || s.Classes[0].Target != 400*time.Millisecond {
		t.Errorf("classes %+v", s.Classes)
	}
	if len(s.Tenants) != 1 || s.Tenants[0].Quota != 35.5 {
		t.Errorf("tenants %+v", s.Tenants)
	}
}

func TestEvents(t *testing.T) {
	_, _, names := decodeEnlist(t)

	_, f := NewFields([]byte("KNOCK 82ed89b25d3a91c4 0.012 pay acme 91f03b7c55d20a64 8.65225 3"))
	want := decide.Request{ID: 0x82ed89b25d3a91c4, Class: 1, Deadline: 8652250 * time.Microsecond, Cost: 0.012, Repeat: true}
	if r := f.Request(names); r != want || f.Err() != nil {
		t.Errorf("request %+v, %v", r, f.Err())
	}
	_, f = NewFields([]byte("KNOCK 82ed89b25d3a91c4 - look - - 8.65225 0"))
	if r := f.Request(names); r.Tenant != -1 || r.Cost != 0 || f.Err() != nil {
		t.Errorf("request without tenant %+v, %v", r, f.Err())
	}
	_, f = NewFields([]byte("CLOSED_ATTEMPT 82ed89b25d3a91c4 4294967295 1 1 0.0185 RST depth:2.5,strange:1"))
	o := f.Outcome(names)
	if o.Backend != 4294967295 || o.Attempt != 1 || !o.Over || o.Result != decide.Reset ||
		o.Latency != 18500*time.Microsecond || o.Load.Values[decide.ReportQueue] != 2.5 || f.Err() != nil {
		t.Errorf("outcome %+v, %v", o, f.Err())
	}
	_, f = NewFields([]byte("BACKEND 51530247 b g2 4 DRAINING 1.5 6.1"))
	e := decide.Backend{ID: 51530247, Zone: 1, Kind: 1, Cell: 4, State: decide.Draining, Weight: 1.5,
		Started: 6100 * time.Millisecond}
	if got := f.Entry(names); got != e || f.Err() != nil {
		t.Errorf("entry %+v, %v", got, f.Err())
	}
	_, f = NewFields([]byte("DISCOVERY 41 Persisted 2"))
	if kind, n := f.List(); kind != decide.EndpointsStored || n != 2 || f.Err() != nil {
		t.Errorf("list %v %d %v", kind, n, f.Err())
	}
}

func TestMalformedLinesNameTheField(t *testing.T) {
	_, _, names := decodeEnlist(t)
	for _, c := range []struct{ line, field string }{
		{"KNOCK 82ed89b25d3a91c 0 look - - 1 0", "rid"},
		{"KNOCK 82ED89b25d3a91c4 0 look - - 1 0", "rid"},
		{"KNOCK 82ed89b25d3a91c4 x look - - 1 0", "cost_s"},
		{"KNOCK 82ed89b25d3a91c4 0 unheard - - 1 0", "class"},
		{"KNOCK 82ed89b25d3a91c4 0 look nobody - 1 0", "billing"},
		{"KNOCK 82ed89b25d3a91c4 0 look - - NaN 0", "valid_until_s"},
		{"KNOCK 82ed89b25d3a91c4 0 look - - 1e300 0", "valid_until_s"},
		{"KNOCK 82ed89b25d3a91c4 0 look", "billing"},
		{"CLOSED_ATTEMPT 82ed89b25d3a91c4 4294967296 0 1 0.1 GOOD -", "backend"},
		{"CLOSED_ATTEMPT 82ed89b25d3a91c4 1 -1 1 0.1 GOOD -", "go"},
		{"CLOSED_ATTEMPT 82ed89b25d3a91c4 1 0 2 0.1 GOOD -", "over"},
		{"CLOSED_ATTEMPT 82ed89b25d3a91c4 1 0 1 0.1 FINE -", "result"},
		{"CLOSED_ATTEMPT 82ed89b25d3a91c4 1 0 1 0.1 GOOD depth", "load"},
		{"BACKEND 1 nowhere g1 0 SERVING 1 -", "site"},
		{"BACKEND 1 a g9 0 SERVING 1 -", "hw"},
		{"BACKEND 1 a g1 0 RESTING 1 -", "readiness"},
		{"DISCOVERY 1 Whole 3", "mode"},
		{"ENLIST 1 zones=a locality=z", "settings locality"},
		{"ENLIST 1 zones=a locality=a classes.count=-1", "settings classes.count"},
		{"ENLIST 1 zones=a locality=a limits.cancel=maybe", "settings limits.cancel"},
		{"ENLIST 1 zones=a locality=a weights=heavy", "settings weights"},
	} {
		name, f := NewFields([]byte(c.line))
		decodeFields(name, f, names)
		var e *FieldError
		if !errors.As(f.Err(), &e) || e.Field != c.field || e.Message != strings.Fields(c.line)[0] {
			t.Errorf("%q: error %v, want one of field %s", c.line, f.Err(), c.field)
		}
	}
}

func decodeFields(name string, f *Fields, names *Names) {
	switch name {
	case "KNOCK":
		f.Request(names)
	case "CLOSED_ATTEMPT":
		f.Outcome(names)
	case "PROBE_DONE":
		f.Probed(names)
	case "BACKEND":
		f.Entry(names)
	case "DISCOVERY":
		f.List()
	case "ENLIST":
		f.Enlist()
	}
}

func TestReply(t *testing.T) {
	var r Reply
	r.Reset()
	r.Act(3)
	r.Send(0x0ed89b25d3a91c4, 51530247, 8492250*time.Microsecond)
	r.SetTimer(500*time.Millisecond, 2)
	r.Act(5)
	r.Reject(1, 0)
	r.Fail(2)
	r.Cancel(3, 1)
	r.Probe(9)
	r.Watch()
	r.Log("two servers known")
	want := "ON_BEHALF 3\nDISPATCH 00ed89b25d3a91c4 51530247 8.492250\nARM 0.500000 2\nON_BEHALF 5\n" +
		"DECLINE 0000000000000001 0.000000\nEND_FAILED 0000000000000002\nSTOP_ATTEMPT 0000000000000003 1\n" +
		"PROBE 9\nOBSERVE 1\nJOURNAL_LINE two servers known\nEND\n"
	if got := string(r.Bytes()); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func FuzzLine(f *testing.F) {
	for _, line := range []string{enlist, "KNOCK 82ed89b25d3a91c4 0.012 look acme - 8.6 1", "DISCOVERY 1 Partial 1",
		"CLOSED_ATTEMPT 82ed89b25d3a91c4 1 0 1 0.1 GOOD depth:1,tps:2", "BACKEND 1 a g1 0 SERVING 1 -",
		"PROBE_DONE 1 GOOD 0.01 -", "", " ", "KNOCK  "} {
		f.Add([]byte(line))
	}
	_, _, names := decodeEnlist(f)
	f.Fuzz(func(_ *testing.T, line []byte) {
		name, fields := NewFields(line)
		decodeFields(name, fields, names) // must not panic
	})
}
