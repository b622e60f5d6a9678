package proxy

import (
	"net/http"
	"strconv"
	"strings"
)

// Headers in which a client describes a request to a model.
const (
	headerUsage  = "Token-Usage"   // tokens of the prompt, most tokens generated
	headerPrefix = "Prompt-Prefix" // blocks of the prompt from its start, each id:tokens
)

// Parameters of prompts.
const (
	prefillBaseTokens = 4000 // fixed part of the cost of the first token, as the tokens whose prefill costs as much
	minLongOutput     = 100  // generated tokens from which on a response lasts long after its first token
	maxTokens         = 1e9  // larger numbers count as not stated
)

// prompt is what a request states of its prompt. Numbers that are not stated are 0.
type prompt struct {
	inputTokens  float64 // of the prompt
	outputTokens float64 // generated at most
	prefix       string  // id of the last block that other requests share, "" = none
	ownTokens    float64 // of the last block
}

// usage returns the tokens that the request takes of a quota, 0 = not stated.
func (p *prompt) usage() float64 { return p.inputTokens + p.outputTokens }

// cost returns the expected work of the backend, in prefilled tokens, 0 = not known.
func (p *prompt) cost() float64 {
	if p.inputTokens == 0 {
		return 0
	}
	return p.ownTokens + prefillBaseTokens
}

// long reports whether the response lasts long after its first token.
func (p *prompt) long() bool { return p.outputTokens >= minLongOutput }

// parsePrompt reads a prompt's description from a request's header. What is not well formed counts as not stated.
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

// parsePrefixBlock reads a block of the form id:tokens.
func parsePrefixBlock(text string) (id string, tokens float64) {
	id, size, _ := strings.Cut(strings.TrimSpace(text), ":")
	return id, parseTokens(size)
}

// parseTokens reads a number of tokens, 0 where there is none.
func parseTokens(text string) float64 {
	tokens, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || tokens < 0 || tokens > maxTokens {
		return 0
	}
	return tokens
}
