package proxy

import (
	"net/http"
	"strconv"
	"strings"
)

// The headers that describe a request to a model.
const (
	headerUsage  = "Token-Usage"
	headerPrefix = "Prompt-Prefix"
)

// prompt is what a request says of its prompt.
type prompt struct {
	input  float64 // tokens of the prompt
	output float64 // most tokens generated
	shared string  // the id of the last part that other requests share; empty = none
	own    float64 // tokens of the last part
}

// usage is what the request takes of an allowance in tokens, 0 = not stated.
func (p *prompt) usage() float64 { return p.input + p.output }

// cost is the expected work in the rater, in tokens read: one token out takes about as long as this many tokens in.
func (p *prompt) cost() float64 {
	if p.input == 0 {
		return 0
	}
	return p.own + readingBase
}

// longOutput is the number of tokens from which on an answer lasts long after its first token.
const longOutput = 100

func (p *prompt) long() bool { return p.output >= longOutput }

// readingBase is the fixed part of the cost of the first token, in tokens read.
const readingBase = 4000

// parsePrompt reads what the headers say. What is not as the protocol has it is taken as not stated.
func parsePrompt(header http.Header) prompt {
	var p prompt
	in, out, _ := strings.Cut(header.Get(headerUsage), ",")
	p.input, p.output = count(in), count(out)
	parts := strings.Split(header.Get(headerPrefix), ",")
	if len(parts) == 0 || parts[0] == "" {
		return p
	}
	_, tokens := part(parts[len(parts)-1])
	p.own = tokens
	place := max(0, len(parts)-2)
	p.shared, _ = part(parts[place])
	return p
}

func part(text string) (id string, tokens float64) {
	id, size, _ := strings.Cut(strings.TrimSpace(text), ":")
	return id, count(size)
}

func count(text string) float64 {
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || value < 0 || value > 1e9 {
		return 0
	}
	return value
}
