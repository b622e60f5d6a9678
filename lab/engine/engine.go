// Package engine is a stand-in for a rater that serves a language model, for tests, the demo and load on loopback: it has
// slots, reads prompts one after the other, generates in batches that slow down as they grow, and keeps prefixes of
// prompts in a memory from which those unused for longest give way.
package engine

import (
	"container/list"
	"sync"
	"time"
)

// Model is the speed and size of an engine.
type Model struct {
	Slots           int
	Queue           int
	KvTokens        int
	First           time.Duration // fixed part of the time to the first token
	Step            time.Duration // between the tokens of a request that runs alone
	StepPerRequest  time.Duration // and longer by this for each other one
	TokensPerSecond float64       // of a prompt that is read
	TokensPerEvent  int
}

// DefaultModel is a small fast engine.
func DefaultModel() Model {
	return Model{Slots: 16, Queue: 32, KvTokens: 200_000, First: 5 * time.Millisecond, Step: time.Millisecond,
		StepPerRequest: 100 * time.Microsecond, TokensPerSecond: 1_000_000, TokensPerEvent: 4}
}

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Engine is the state of one engine.
type Engine struct {
	model  Model
	reader sync.Mutex // held by the request whose prompt is being read

	mu      sync.Mutex
	slots   *sync.Cond
	running int
	waiting int
	cache   *cache
	read    int // tokens of prompts that were read
	found   int // and that were found kept
}

// New makes an idle engine.
func New(model Model) *Engine {
	e := &Engine{model: model, cache: newCache(model.KvTokens)}
	e.slots = sync.NewCond(&e.mu)
	return e
}

// Load is how many requests run and wait.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.waiting
}

// Tokens is how many tokens of prompts were read and found kept.
func (e *Engine) Tokens() (read, found int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.read, e.found
}

// Begin takes a request in and reads its prompt; false: the engine is full.
func (e *Engine) Begin(prompt []Part) bool {
	if !e.enter() {
		return false
	}
	e.reader.Lock()
	defer e.reader.Unlock()
	e.mu.Lock()
	missing, kept := e.cache.use(prompt)
	e.read, e.found = e.read+missing, e.found+kept
	e.mu.Unlock()
	time.Sleep(e.model.First + time.Duration(float64(missing)/e.model.TokensPerSecond*float64(time.Second)))
	return true
}

func (e *Engine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.model.Slots {
		if e.waiting >= e.model.Queue {
			return false
		}
		e.waiting++
		for e.running >= e.model.Slots {
			e.slots.Wait()
		}
		e.waiting--
	}
	e.running++
	return true
}

// Event waits until the next event of a request is generated.
func (e *Engine) Event() {
	running, _ := e.Load()
	step := e.model.Step + time.Duration(running-1)*e.model.StepPerRequest
	time.Sleep(time.Duration(e.model.TokensPerEvent) * step)
}

// End takes a request out.
func (e *Engine) End() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.slots.Signal()
}

// cache keeps parts of prompts. A part is kept only as long as every part before it.
type cache struct {
	room  int
	used  int
	order *list.List // of *keptPart, used last first
	parts map[string]*list.Element
}

type keptPart struct {
	key    string
	tokens int
}

func newCache(room int) *cache {
	return &cache{room: room, order: list.New(), parts: map[string]*list.Element{}}
}

// use gives the tokens of a prompt that must be read and those that are kept, and keeps the prompt.
func (c *cache) use(prompt []Part) (missing, kept int) {
	key, whole := "", true
	for _, part := range prompt {
		key += "/" + part.ID
		element, present := c.parts[key]
		if whole = whole && present; whole {
			kept += part.Tokens
			c.order.MoveToFront(element)
			continue
		}
		missing += part.Tokens
		c.keep(key, part.Tokens)
	}
	for c.used > c.room && c.order.Len() > 0 {
		c.drop(c.order.Back())
	}
	return missing, kept
}

func (c *cache) keep(key string, tokens int) {
	if element, present := c.parts[key]; present {
		c.drop(element)
	}
	c.parts[key] = c.order.PushFront(&keptPart{key, tokens})
	c.used += tokens
}

func (c *cache) drop(element *list.Element) {
	part := c.order.Remove(element).(*keptPart)
	delete(c.parts, part.key)
	c.used -= part.tokens
}
