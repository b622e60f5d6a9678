package quotas

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/quota"
)

// Tree is that of the comparison: an organisation with two partners, and two partners of their own.
var Tree = []quota.Node{{Name: "morava", Share: 0.46}, {Name: "vltava", Share: 0.36}, {Name: "sumava", Share: 0.18},
	{Name: "morava-north", Parent: "morava", Share: 0.6}, {Name: "morava-south", Parent: "morava", Share: 0.4}}

// Rate is what the whole can do, calls a second.
const Rate = 200.0

// Flow is how one leaf asks from a time to another, seconds.
type Flow struct {
	Leaf     string
	Rate     float64
	Priority int
	From, To float64
}

// Case is one pattern of arrivals. Shares are counted from From to To.
type Case struct {
	Name     string
	Flows    []Flow
	Capacity float64
	From, To float64
	Wakes    string // the leaf whose first second after From is looked at
}

const end = 70.0

func all(rates map[string]float64) (flows []Flow) {
	for _, n := range Tree {
		if r := rates[n.Name]; r > 0 {
			flows = append(flows, Flow{n.Name, r, 0, 0, end})
		}
	}
	return flows
}

// Cases are the hard ones. Guarantees are 55, 37, 72 and 36 calls a second.
var Cases = []Case{
	{"everyone asks for five times its share", all(map[string]float64{"morava-north": 275, "morava-south": 185, "vltava": 360,
		"sumava": 180}), 1, 10, end, ""},
	{"one partner storms at five times its share", all(map[string]float64{"morava-north": 55, "morava-south": 37, "vltava": 72,
		"sumava": 180}), 1, 10, end, ""},
	{"the largest is quiet, one of the others asks ten times as often", all(map[string]float64{"vltava": 150, "sumava": 1500}), 1,
		10, end, ""},
	{"a gateway's sibling is quiet", all(map[string]float64{"morava-north": 300, "vltava": 300, "sumava": 300}), 1, 10, end, ""},
	{"half of the raters are gone and everyone storms", all(map[string]float64{"morava-north": 275, "morava-south": 185,
		"vltava": 360, "sumava": 180}), 0.5, 10, end, ""},
	{"a lender wakes while the borrower bursts", append(all(map[string]float64{"vltava": 300, "sumava": 300}),
		Flow{"morava-north", 300, 0, 30, end}, Flow{"morava-south", 300, 0, 30, end}), 1, 30, end, "morava-north"},
	{"blocks come while charges storm", append(all(map[string]float64{"morava-north": 275, "morava-south": 185, "vltava": 360,
		"sumava": 180}), Flow{"sumava", 12, 1, 0, end}, Flow{"vltava", 24, 1, 0, end}), 1, 10, end, ""},
}

// Outcome is how one way did in one case.
type Outcome struct {
	Way       string             `json:"way"`
	Asked     map[string]float64 `json:"asked"` // a second, by leaf
	Got       map[string]float64 `json:"got"`
	Due       map[string]float64 `json:"due"`
	Worst     float64            `json:"worst_error"`       // the largest part by which a leaf missed its due
	Over      float64            `json:"over_capacity"`     // part by which all together went beyond what the fleet can do
	Lost      float64            `json:"room_lost"`         // part of what was due in all that nobody got
	Blocks    int                `json:"blocks"`            // that came
	Refused   int                `json:"blocks_refused"`    // of them
	FirstTime float64            `json:"first_second"`      // of a leaf that wakes: part of its guarantee that it got at once
	Seconds   []map[string]int   `json:"seconds,omitempty"` // what each leaf got, second by second
}

// Play plays a case with every way.
func Play(c Case, seed uint64) []Outcome {
	type arrival struct {
		at float64
		f  *Flow
	}
	var arrivals []arrival
	for i := range c.Flows {
		f := &c.Flows[i]
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := f.From + rng.ExpFloat64()/f.Rate; at < f.To; at += rng.ExpFloat64() / f.Rate {
			arrivals = append(arrivals, arrival{at, f})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	var out []Outcome
	for _, way := range Ways {
		d := way.Make(Tree, Rate)
		d.Capacity(0, c.Capacity)
		o := Outcome{Way: way.Name, Asked: map[string]float64{}, Got: map[string]float64{}, Due: map[string]float64{},
			Seconds: make([]map[string]int, int(end))}
		for i := range o.Seconds {
			o.Seconds[i] = map[string]int{}
		}
		first := 0.0
		for _, a := range arrivals {
			goes := d.Ask(a.at, a.f.Leaf, a.f.Priority)
			if goes {
				o.Seconds[int(a.at)][a.f.Leaf]++
			}
			if a.f.Priority > 0 {
				o.Blocks++
				if !goes {
					o.Refused++
				}
			}
			if a.f.Leaf == c.Wakes && goes && a.at < c.From+1 {
				first++
			}
			if a.at < c.From {
				continue
			}
			o.Asked[a.f.Leaf] += 1 / (c.To - c.From)
			if goes {
				o.Got[a.f.Leaf] += 1 / (c.To - c.From)
			}
		}
		o.judge(c, first)
		out = append(out, o)
	}
	return out
}

// judge holds what leaves got against their due.
func (o *Outcome) judge(c Case, first float64) {
	b, err := quota.New(Settings(Tree, Rate), 1)
	if err != nil {
		panic(err) // the tree is this package's own
	}
	asked := map[int]float64{}
	for leaf, rate := range o.Asked {
		at, _ := b.Find(leaf)
		asked[at] += rate
	}
	due, got := 0.0, 0.0
	for at, rate := range b.FairRates(Rate*c.Capacity, asked) {
		leaf := b.Name(at)
		o.Due[leaf] = rate
		o.Worst = max(o.Worst, math.Abs(o.Got[leaf]-rate)/rate)
		due, got = due+rate, got+o.Got[leaf]
	}
	o.Over = max(0, got/(Rate*c.Capacity)-1)
	o.Lost = max(0, 1-got/due)
	if c.Wakes != "" {
		o.FirstTime = first / rates(Tree, Rate)[c.Wakes]
	}
}
