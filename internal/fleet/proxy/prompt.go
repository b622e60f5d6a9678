package proxy

import (
	"net/http"
	"strconv"
	"strings"
)

// Headers with which a client describes a request to a model.
const (
	headerUsage  = "Token-Usage"   // tokens of the prompt, maximum number of generated tokens
	headerPrefix = "Prompt-Prefix" // blocks of the prompt from its start, each in the form id:tokens
)

// Parameters of prompts.
const (
	prefillBaseTokens = 4000 // fixed part of the cost of the first token, in prefilled tokens
	minLongOutput     = 100  // generated tokens at or above which a response takes long after its first token
	maxTokens         = 1e9  // larger numbers count as not stated
)

// prompt is the description of a prompt in a request's headers. Numbers that are not stated are 0.
type prompt struct {
	inputTokens  float64 // of the prompt
	outputTokens float64 // maximum number of generated tokens
	prefix       string  // id of the last block that may be shared with other requests, "" = none
	ownTokens    float64 // of the last block
}

// usage returns the tokens that the request uses of a token quota, 0 = not stated.
func (p *prompt) usage() float64 { return p.inputTokens + p.outputTokens }

// cost returns the expected work of the backend, in prefilled tokens, 0 = unknown.
func (p *prompt) cost() float64 {
	if p.inputTokens == 0 {
		return 0
	}
	return p.ownTokens + prefillBaseTokens
}

// long reports whether the response takes long after its first token.
func (p *prompt) long() bool { return p.outputTokens >= minLongOutput }

// parsePrompt parses the description of a prompt from a request's header. Malformed parts count as not stated.
func parsePrompt(header http.Header) prompt {
	var p prompt
	input, output, _ := strings.Cut(header.Get(headerUsage), ",")
	p.inputTokens, p.outputTokens = parseTokens(input), parseTokens(output)
	blocks := strings.Split(header.Get(headerPrefix), ",")
	if len(blocks) == 0 || blocks[0] == "" {
		return p
	}
	_, p.ownTokens = parsePrefixBlock(blocks[len(blocks)-1])
	lastShared := max(0, len(blocks)-2)
	p.prefix, _ = parsePrefixBlock(blocks[lastShared])
	return p
}

// parsePrefixBlock parses a block of the form id:tokens.
func parsePrefixBlock(text string) (id string, tokens float64) {
	id, size, _ := strings.Cut(strings.TrimSpace(text), ":")
	return id, parseTokens(size)
}

// parseTokens parses a number of tokens. It returns 0 if the text is not a valid number.
func parseTokens(text string) float64 {
	tokens, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(tokens >= 0 && tokens <= maxTokens) { // NaN is neither
		return 0
	}
	return tokens
}
