package main

import (
	"strings"
	"testing"
)

const settings = "classes.count=1 classes.0.effect=read_like classes.0.name=look classes.0.on_time_s=0.4 " +
	"classes.0.hard_limit_s=0.8 classes.0.worth=1 discovery=push group_size=1 limits.max_attempts=3 " +
	"locality=a machine_types=g1 my_number=0 weights=none zones=a"

const firstBatch = "MARK 8.0\nSELECT 3\nENLIST 1 " + settings + "\nDISCOVERY 41 Persisted 1\n" +
	"BACKEND 77 a g1 0 SERVING 1 -\nFLUSH\n"

func run(t *testing.T, in string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestServeAnswersEachBatch(t *testing.T) {
	out, err := run(t, "MARK 7.5\nFLUSH\n"+firstBatch+
		"MARK 8.1\nSELECT 3\nKNOCK 82ed89b25d3a91c4 - look - - 8.9 0\nFLUSH\n"+
		"MARK 8.2\nSELECT 3\nCLOSED_ATTEMPT 82ed89b25d3a91c4 77 0 1 0.1 GOOD -\nRETIRE\nFLUSH\n")
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(out, "END\n") != 4 {
		t.Errorf("want 4 replies, got\n%s", out)
	}
	if !strings.Contains(out, "ON_BEHALF 3\nDISPATCH 82ed89b25d3a91c4 77 8.500000\n") {
		t.Errorf("the request was not sent:\n%s", out)
	}
}

func TestServeReportsTheFaultyLine(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{firstBatch + "MARK 8.1\nSELECT 3\nKNOCK short - look - - 8.9 0\nFLUSH\n", "line 9: KNOCK: field rid"},
		{firstBatch + "MARK 8.1\nSELECT 4\nRETIRE\nFLUSH\n", "line 9: RETIRE: the instance"},
		{firstBatch + "MARK 8.1\nSELECT 3\nSING\nFLUSH\n", "line 9: unknown message"},
		{firstBatch + "MARK 8.1\nSELECT 3\n", "line 9: input ends within a batch"},
		{firstBatch + "MARK x\n", "line 7: MARK: field clock"},
		{"SELECT 3\n", "line 1: message outside a batch"},
		{"MARK 1\nMARK 2\n", "line 2: MARK within a batch"},
		{firstBatch + "MARK 8.1\nSELECT 3\nDISCOVERY 42 Complete 2\nBACKEND 77 a g1 0 SERVING 1 -\nFLUSH\n",
			"line 11: fewer BACKEND lines"},
		{firstBatch + "MARK 8.1\nSELECT 3\nBACKEND 77 a g1 0 SERVING 1 -\nFLUSH\n", "line 9: BACKEND line without a list"},
		{"MARK 8\nSELECT 1\nENLIST 1 zones=a locality=a\nFLUSH\n", "line 3: ENLIST: settings: "},
	} {
		if _, err := run(t, c.in); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %v, want %q", err, c.want)
		}
	}
}

func TestServeReturnsAtEndOfInput(t *testing.T) {
	for _, in := range []string{"", firstBatch} {
		if _, err := run(t, in); err != nil {
			t.Errorf("error %v", err)
		}
	}
}
