package rater

import (
	"fmt"
	"strconv"
	"strings"
)

// Received is what a client has received of one stream, over all its tries.
type Received struct {
	Next int // the token that must follow
	Last int // the number of the last event, 0 = none
}

// Judgement is what one response did for its stream.
type Judgement struct {
	Broken   string // the fault, "" = none
	TooEarly bool   // the fault is that the response is framed as complete, and later events are missing
	Whole    bool   // the response is framed as complete, and the stream is whole with it
}

// Judge judges the body of a response of status 200 to a client that has received the tokens before r.Next, and records
// its events. complete is whether the client was told that the body is complete; tokens is the number of tokens of
// the whole stream.
func (r *Received) Judge(body string, complete bool, tokens int) Judgement {
	for {
		event, rest, ended := strings.Cut(body, "\n\n")
		if !ended {
			break
		}
		body = rest
		if fault := r.add(event); fault != "" {
			return Judgement{Broken: fault}
		}
	}
	switch {
	case !complete:
		return Judgement{}
	case body != "":
		return Judgement{TooEarly: true, Broken: fmt.Sprintf("framed as complete, ends within an event: %q", body)}
	case r.Next <= tokens:
		return Judgement{TooEarly: true, Broken: fmt.Sprintf("framed as complete, ends before token %d of %d", r.Next, tokens)}
	}
	return Judgement{Whole: true}
}

// add records an event. It returns the fault, "" if there is none.
func (r *Received) add(event string) string {
	for line := range strings.SplitSeq(event, "\n") {
		if data, isData := strings.CutPrefix(line, "data:"); isData {
			for token := range strings.FieldsSeq(data) {
				if token != fmt.Sprintf("t%d", r.Next) {
					return fmt.Sprintf("%s comes where t%d is due", token, r.Next)
				}
				r.Next++
			}
		}
		if id, isID := strings.CutPrefix(line, "id:"); isID {
			number, err := strconv.Atoi(strings.TrimSpace(id))
			if err != nil || number <= r.Last {
				return fmt.Sprintf("id %q follows %d", id, r.Last)
			}
			r.Last = number
		}
	}
	return ""
}
