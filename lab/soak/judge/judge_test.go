package judge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/lab/soak/rater"
	"linenwheel.dev/linenwheel/lab/soak/record"
)

var testBounds = Bounds{Contact: 3 * time.Second, Config: 2 * time.Second, Revoke: 5 * time.Second, Drain: 2 * time.Second, Grace: 4 * time.Second,
	Recover: 6 * time.Second, Deadline: 4 * time.Second, RetryRatio: 0.2, RetrySlack: 4, RetryWindow: 10 * time.Second, QuotaWindow: 8 * time.Second,
	QuotaSlack: 1000}

const testConfiguration = `{"Revision":1,"Routes":[
{"Name":"safe","Hostname":"h","PathPrefix":"/safe/","RouteType":"safe","TimeoutMs":4000,"Backend":"llm","MaxAttempts":2},
{"Name":"unsafe","Hostname":"h","PathPrefix":"/unsafe/","RouteType":"unsafe","TimeoutMs":4000,"Backend":"llm","MaxAttempts":2},
{"Name":"resumed","Hostname":"h","PathPrefix":"/resumed/","RouteType":"streaming","TimeoutMs":4000,"Backend":"llm","MaxAttempts":2,"StreamResume":true},
{"Name":"open","Hostname":"h","PathPrefix":"/open/","RouteType":"safe","TimeoutMs":4000,"Backend":"llm","MaxAttempts":1,"Anonymous":true}],
"Backends":[{"Name":"llm"},{"Name":"api"}],"Limits":{"MaxBodyBytes":1000},
"Tenants":[{"Name":"t","ApiKeys":["key","second"],"PlainTokens":5,"RatePerS":100,"Burst":100}]}`

// second is a second as times of records count.
const second = int64(time.Second)

// sheet is a sound record of a play, to which faults are added.
type sheet struct{ entries []record.Entry }

func (s *sheet) add(at int64, entry record.Entry) {
	entry.At = at
	s.entries = append(s.entries, entry)
}

// order adds an order with its outcome.
func (s *sheet) order(at int64, method string, base, revision int64, body string, status int) *record.Order {
	order := &record.Order{Method: method, Base: base, Revision: revision, Body: body, Status: status, AckedAt: at + second/10}
	s.add(at, record.Entry{Order: order})
	return order
}

// served adds a request that one rater has served, and returns its records.
func (s *sheet) served(at int64, name, path string) (*record.Try, *record.Run) {
	tokens := 4
	body := rater.Event(1, 2) + rater.Event(3, 4)
	t := &record.Try{Attempt: name, Stream: name, Host: "h", Path: path, Body: "body", Key: "key", Usage: "10,4", Tokens: tokens, Machine: "data-1",
		Status: http.StatusOK, Seal: "i-1." + name, Answer: body, Complete: true, EndedAt: at + second/10}
	r := &record.Run{Attempt: name, Stream: name, Rater: "i-1", Service: "llm", Method: http.MethodPost, Path: path, Body: "body", Tenant: "t", Usage: "10,4",
		Executed: true, Status: http.StatusOK, Behaviour: "plain", Framing: uint8(rater.ByChunks)}
	if strings.HasPrefix(path, "/open/") {
		r.Tenant = ""
	}
	s.add(at, record.Entry{Try: t})
	s.add(at+second/100, record.Entry{Run: r})
	s.add(at+second/20, record.Entry{Ran: &record.Ran{Attempt: name, Rater: "i-1", Whole: true}})
	return t, r
}

// soundSheet returns a play in which nothing is wrong: one configuration, requests from 10 s on, the end at 40 s.
func soundSheet() *sheet {
	s := &sheet{}
	s.order(second, http.MethodPut, 0, 1, testConfiguration, http.StatusOK)
	for i := range int64(100) {
		route := []string{"/safe/4", "/unsafe/4", "/resumed/4", "/open/4"}[i%4]
		s.served(10*second+i*second/4, fmt.Sprint("a", i), route)
	}
	s.add(20*second, record.Entry{Change: &record.Change{What: record.Calm}})
	s.add(40*second, record.Entry{Read: &record.Read{Status: http.StatusOK, Body: testConfiguration, Machine: "control-1", Final: true}})
	return s
}

// change adds what the platform did.
func (s *sheet) change(at int64, machine, role string, what record.What) {
	s.add(at, record.Entry{Change: &record.Change{Machine: machine, Role: role, What: what}})
}

// rerun adds a second run of a request at another rater.
func (s *sheet) rerun(at int64, r *record.Run, instance string) *record.Run {
	again := *r
	again.Rater = instance
	s.add(at, record.Entry{Run: &again})
	return &again
}

func TestSoundRecordsAreNotBroken(t *testing.T) {
	s := soundSheet()
	verdict := Judge(s.entries, testBounds)
	require.Empty(t, verdict.Findings)
	require.Equal(t, 100, verdict.Served)
	require.Equal(t, 100, verdict.Runs)
}

// Guards against a judge that overlooks a fault: one is planted in each.
func TestEachPlantedFaultIsFound(t *testing.T) {
	const at = 12 * second
	withoutKey := `{"Revision":2,"Upsert":{"Tenants":[{"Name":"t","ApiKeys":["second"],"PlainTokens":5,"RatePerS":100,"Burst":100}]}}`
	for name, test := range map[string]struct {
		rule  Rule
		plant func(s *sheet)
	}{
		"run of nobody": {Unasked, func(s *sheet) {
			s.add(at, record.Entry{Run: &record.Run{Attempt: "nobody", Rater: "i-1", Executed: true}})
		}},
		"body changed":     {Unasked, func(s *sheet) { _, r := s.served(at, "x", "/safe/4"); r.Body = "other" }},
		"path changed":     {Unasked, func(s *sheet) { _, r := s.served(at, "x", "/safe/4"); r.Path = "/unsafe/4" }},
		"usage changed":    {Unasked, func(s *sheet) { _, r := s.served(at, "x", "/safe/4"); r.Usage = "1,1" }},
		"key passed on":    {Unasked, func(s *sheet) { _, r := s.served(at, "x", "/safe/4"); r.Key = "key" }},
		"another tenant":   {Unasked, func(s *sheet) { _, r := s.served(at, "x", "/safe/4"); r.Tenant = "u" }},
		"tenant when open": {Unasked, func(s *sheet) { r, run := s.served(at, "x", "/open/4"); r.Key, run.Tenant = "", "u" }},
		"ran twice":        {Twice, func(s *sheet) { _, r := s.served(at, "x", "/unsafe/4"); s.rerun(at+second/50, r, "i-2") }},
		"refused and ran":  {Refused, func(s *sheet) { t, _ := s.served(at, "x", "/unsafe/4"); t.Status, t.Seal, t.Answer = 503, "", "" }},
		"refused, runs late": {Refused, func(s *sheet) {
			t, r := s.served(at, "x", "/unsafe/4")
			t.Status, t.Seal, t.Answer = 429, "", ""
			r.Executed = false
			s.rerun(at+second, r, "i-2").Executed = true
		}},
		"too many raters": {Budget, func(s *sheet) {
			for i := range 4 {
				_, r := s.served(at, fmt.Sprint("x", i), "/safe/4")
				s.rerun(at+second/60, r, "i-2")
				s.rerun(at+second/50, r, "i-3")
			}
		}},
		"too many retries": {Budget, func(s *sheet) {
			for i := range 40 {
				_, r := s.served(at, fmt.Sprint("x", i), "/safe/4")
				s.rerun(at+second/60, r, "i-2")
			}
		}},
		"no seal":                     {Mixed, func(s *sheet) { t, _ := s.served(at, "x", "/safe/4"); t.Seal = "" }},
		"seal of another request":     {Mixed, func(s *sheet) { t, _ := s.served(at, "x", "/safe/4"); t.Seal = "i-1.a1" }},
		"seal of another rater":       {Mixed, func(s *sheet) { t, _ := s.served(at, "x", "/safe/4"); t.Seal = "i-2.x" }},
		"success of a failure":        {Mixed, func(s *sheet) { _, r := s.served(at, "x", "/safe/4"); r.Status = 500 }},
		"failure with another status": {Mixed, func(s *sheet) { t, r := s.served(at, "x", "/safe/4"); t.Status, r.Status = 502, 500 }},
		"event twice": {Order, func(s *sheet) {
			t, _ := s.served(at, "x", "/resumed/4")
			t.Answer = rater.Event(1, 2) + rater.Event(1, 2) + rater.Event(3, 4)
		}},
		"event missing": {Order, func(s *sheet) {
			t, _ := s.served(at, "x", "/resumed/4")
			t.Answer = rater.Event(1, 1) + rater.Event(3, 4)
		}},
		"ends early": {Order, func(s *sheet) { t, _ := s.served(at, "x", "/resumed/4"); t.Answer = rater.Event(1, 2) }},
		"resumed from the beginning": {Order, func(s *sheet) {
			first, _ := s.served(at, "x", "/resumed/4")
			first.Answer, first.Complete = rater.Event(1, 2), false
			again, _ := s.served(at+second, "y", "/resumed/4")
			again.Stream, again.Last = "x", 2
		}},
		"rater ends, unframed": {Order, func(s *sheet) {
			t, r := s.served(at, "x", "/resumed/4")
			t.Answer, r.Framing = rater.Event(1, 2), uint8(rater.ByConnection)
			s.change(at+second/20, "i-1", "rater", record.Ended)
		}},
		"unframed and asked for": {Order, func(s *sheet) {
			t, r := s.served(at, "x", "/resumed/4")
			t.Answer, r.Framing, r.Ending = rater.Event(1, 2), uint8(rater.ByChunks), uint8(rater.ClosesBetween)
		}},
		"service never allowed": {Route, func(s *sheet) { _, r := s.served(at, "x", "/safe/4"); r.Service = "api" }},
		"key never held":        {Route, func(s *sheet) { t, _ := s.served(at, "x", "/safe/4"); t.Key = "nobody's" }},
		"key taken away": {Config, func(s *sheet) {
			s.order(at, http.MethodPatch, 1, 2, withoutKey, http.StatusOK)
			s.change(at+6*second, "data-1", "data", record.Frozen) // this rule holds in trouble too
			s.served(at+7*second, "x", "/safe/4")
		}},
		"last tenant removed": {Config, func(s *sheet) {
			s.order(at, http.MethodPatch, 1, 2, `{"Revision":2,"Remove":{"Tenants":["t"]}}`, http.StatusOK)
			s.change(at+6*second, "data-1", "data", record.Frozen)
			s.served(at+7*second, "x", "/safe/4")
		}},
		"old route": {Config, func(s *sheet) {
			s.order(at, http.MethodPatch, 1, 2, `{"Revision":2,"Remove":{"Routes":["open"]}}`, http.StatusOK)
			s.served(at+3*second, "x", "/open/4")
		}},
		"old service": {Config, func(s *sheet) {
			s.order(at, http.MethodPatch, 1, 2, `{"Revision":2,"Upsert":{"Routes":[{"Name":"safe","Hostname":"h","PathPrefix":"/safe/","RouteType":"safe","Backend":"api"}]}}`, http.StatusOK)
			s.served(at+3*second, "x", "/safe/4")
		}},
		"new route unknown": {Config, func(s *sheet) {
			t, r := s.served(at, "x", "/safe/4")
			t.Status, t.Seal, r.Executed = 404, "", false
		}},
		"invalid acknowledged": {Config, func(s *sheet) { s.order(at, http.MethodPatch, 1, 2, `{"Revision":2}`, http.StatusOK).Invalid = true }},
		"two on one base": {Config, func(s *sheet) {
			s.order(at, http.MethodPatch, 1, 2, `{"Revision":2}`, http.StatusOK)
			s.order(at, http.MethodPatch, 1, 3, `{"Revision":3}`, http.StatusOK)
		}},
		"repeat refused": {Config, func(s *sheet) { s.order(at, http.MethodPut, 0, 1, testConfiguration, http.StatusPreconditionFailed) }},
		"change lost":    {Config, func(s *sheet) { s.order(at, http.MethodPatch, 1, 2, `{"Revision":2}`, http.StatusOK) }},
		"read back altered": {Config, func(s *sheet) {
			s.add(at, record.Entry{Read: &record.Read{Status: http.StatusOK, Body: strings.Replace(testConfiguration, `"key"`, `"kez"`, 1)}})
		}},
		"read back unknown": {Config, func(s *sheet) {
			s.add(at, record.Entry{Read: &record.Read{Status: http.StatusOK, Body: `{"Revision":9}`}})
		}},
		"not read back": {Config, func(s *sheet) {
			s.entries = slices.DeleteFunc(s.entries, func(e record.Entry) bool { return e.Read != nil })
		}},
		"drained rater gets a request": {Drain, func(s *sheet) {
			s.add(at, record.Entry{Left: &record.Left{Rater: "i-9"}})
			t, r := s.served(at+3*second, "x", "/safe/4")
			r.Rater, t.Seal = "i-9", "i-9.x"
		}},
		"cut beside a stop": {Lost, func(s *sheet) {
			s.change(at, "data-1", "data", record.Terminated)
			t, _ := s.served(at+second, "x", "/unsafe/4")
			t.Status, t.Seal, t.Answer, t.Complete = 0, "", "", false
		}},
		"cut beside a stop, another process back": {Lost, func(s *sheet) {
			s.change(at-second, "data-2", "data", record.Terminated)
			s.change(at-second/2, "data-2", "data", record.Ended)
			s.change(at-second/3, "data-2", "data", record.Started)
			s.change(at, "data-1", "data", record.Terminated)
			t, _ := s.served(at+second, "x", "/unsafe/4")
			t.Status, t.Seal, t.Answer, t.Complete = 0, "", "", false
		}},
		"cut without a reason": {Lost, func(s *sheet) {
			for i := range 4 {
				t, _ := s.served(at+second, fmt.Sprint("x", i), "/unsafe/4")
				t.Complete, t.Answer = false, rater.Event(1, 2)
			}
		}},
		"ended by itself": {Fault, func(s *sheet) { s.change(at, "data-1", "data", record.OwnEnd) }},
		"over its memory": {Fault, func(s *sheet) { s.change(at, "data-1", "data", record.OverMemory) }},
		"hangs":           {Fault, func(s *sheet) { s.change(at, "control-1", "control", record.Hung) }},
		"over a quota": {Quota, func(s *sheet) {
			for i := range 10 {
				t, r := s.served(at+second/10, fmt.Sprint("x", i), "/safe/4")
				t.Usage, r.Usage = "200,4", "200,4"
			}
		}},
		"NaN as usage": {Quota, func(s *sheet) {
			for i := range 500 {
				t, r := s.served(at+second/10, fmt.Sprint("x", i), "/safe/4")
				t.Usage, r.Usage = "NaN,NaN", "NaN,NaN"
			}
		}},
		"denied": {Denied, func(s *sheet) {
			s.change(at, "data-1", "data", record.Frozen)
			for i := range 20 {
				t, r := s.served(at+second, fmt.Sprint("x", i), "/safe/4")
				t.Status, t.Seal, r.Executed = 404, "", false
			}
		}},
		"nothing served at the end": {Recover, func(s *sheet) {
			for i := range s.entries {
				if t := s.entries[i].Try; t != nil && s.entries[i].At > 25*second {
					t.Status, t.Seal, t.Answer = 502, "", ""
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := soundSheet()
			test.plant(s)
			verdict := Judge(s.entries, testBounds)
			require.True(t, slices.ContainsFunc(verdict.Findings, func(f Finding) bool { return f.Rule == test.rule }), "%v", verdict.Findings)
			for i := range verdict.Findings {
				require.NotPanics(t, func() { Trace(s.entries, &verdict.Findings[i]) })
			}
		})
	}
}

// Guards against a judge that sees a fault where the pages allow the case.
func TestWhatThePagesAllowIsNotBroken(t *testing.T) {
	const at = 12 * second
	withoutKey := `{"Revision":2,"Upsert":{"Tenants":[{"Name":"t","ApiKeys":["second"],"PlainTokens":5,"RatePerS":100,"Burst":100}]}}`
	for name, plant := range map[string]func(s *sheet){
		"safe request runs twice": func(s *sheet) { _, r := s.served(at, "x", "/safe/4"); s.rerun(at+second/50, r, "i-2") },
		"unsafe one after a promise": func(s *sheet) {
			_, r := s.served(at, "x", "/unsafe/4")
			s.rerun(at+second/200, r, "i-2").Executed = false
		},
		"key taken away, in the time": func(s *sheet) {
			s.order(at, http.MethodPatch, 1, 2, withoutKey, http.StatusOK)
			s.change(at+second, "data-1", "data", record.Frozen)
			s.served(at+4*second, "x", "/safe/4")
			s.add(40*second, record.Entry{Read: &record.Read{Status: http.StatusOK, Final: true, Body: strings.NewReplacer(`"Revision":1`, `"Revision":2`, `"key",`, "").Replace(testConfiguration)}})
			s.entries = slices.DeleteFunc(s.entries, func(e record.Entry) bool {
				return e.Read != nil && strings.Contains(e.Read.Body, `"Revision":1`) || e.Try != nil && e.At > at+4*second || e.Run != nil && e.At > at+4*second+second/50
			})
		},
		"old route in trouble": func(s *sheet) {
			t, r := s.served(at, "x", "/safe/4")
			t.Status, t.Seal, r.Executed = 404, "", false
			s.change(at-second, "data-1", "data", record.Frozen)
		},
		"visibly cut by its rater": func(s *sheet) {
			t, r := s.served(at, "x", "/unsafe/4")
			t.Complete, t.Answer, r.Ending = false, rater.Event(1, 2), uint8(rater.ResetsBetween)
		},
		"cut by a crash": func(s *sheet) {
			s.change(at, "data-1", "data", record.Killed)
			t, _ := s.served(at, "x", "/unsafe/4")
			t.Status, t.Seal, t.Answer, t.Complete = 0, "", "", false
		},
		"rater ends unseen on a busy machine": func(s *sheet) {
			t, r := s.served(at, "x", "/resumed/4")
			t.Answer, r.Framing = rater.Event(1, 2), uint8(rater.ByConnection)
			s.change(at+second/20, "i-1", "rater", record.Ended)
			s.change(at+second/10, "", "", record.Busy)
		},
		"hangs on a busy machine": func(s *sheet) {
			s.change(at-second, "", "", record.Busy)
			s.change(at, "control-1", "control", record.Hung)
		},
		"cut after a crash, the process back": func(s *sheet) {
			s.change(at-2*second, "data-1", "data", record.Killed)
			s.change(at-second, "data-1", "data", record.Started)
			s.change(at, "data-2", "data", record.Terminated)
			t, _ := s.served(at+3*second/2, "x", "/unsafe/4")
			t.Status, t.Seal, t.Answer, t.Complete = 0, "", "", false
		},
		"client left": func(s *sheet) {
			t, _ := s.served(at, "x", "/unsafe/4")
			t.Complete, t.Answer, t.Left = false, rater.Event(1, 2), true
		},
		"unclear order": func(s *sheet) { s.order(at, http.MethodPatch, 1, 2, withoutKey, 0) },
		"stale base":    func(s *sheet) { s.order(at, http.MethodPatch, 0, 2, `{"Revision":2}`, http.StatusPreconditionFailed) },
		"421 at a drained rater": func(s *sheet) {
			s.add(at, record.Entry{Left: &record.Left{Rater: "i-9"}})
			_, r := s.served(at+3*second, "x", "/safe/4")
			misdirected := s.rerun(at+3*second, r, "i-9")
			misdirected.Executed, misdirected.Status = false, http.StatusMisdirectedRequest
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := soundSheet()
			plant(s)
			require.Empty(t, Judge(s.entries, testBounds).Findings)
		})
	}
}
