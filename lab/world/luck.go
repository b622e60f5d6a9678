package world

import (
	"math"
	"math/rand/v2"
)

// What happens by chance while a day is played hangs on hashes of the day's seed and of what it happens to, never on a
// sequence: so two ways of playing a day, or two orders of the same events, meet the same luck.

// mix is the finalizer of splitmix64 (Steele, Lea and Flood 2014): one to one, and unmix undoes it.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func unmix(x uint64) uint64 {
	x = (x ^ x>>31 ^ x>>62) * 0x319642b2d24d8ec3
	x = (x ^ x>>27 ^ x>>54) * 0x96de1b173f119089
	return (x ^ x>>30 ^ x>>60) - 0x9e3779b97f4a7c15
}

// hash is luck for two things together.
func hash(a, b uint64) uint64 { return mix(mix(a) ^ b) }

// unit turns luck into a number in [0, 1).
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// normal turns luck into a number of the standard normal distribution.
func normal(x uint64) float64 {
	u := unit(x)
	return math.Sqrt(-2*math.Log(1-u)) * math.Cos(2*math.Pi*unit(mix(x)))
}

// spread gives a factor of mean 1 and this coefficient of variation, log-normal.
func spread(x uint64, cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	s2 := math.Log1p(cv * cv)
	return math.Exp(math.Sqrt(s2)*normal(x) - s2/2)
}

// source is a stream of its own for one concern of a draw, so that a change in one leaves the others as they were.
func source(seed uint64, concern string) *rand.Rand {
	h := uint64(14695981039346656037)
	for i := range len(concern) {
		h = (h ^ uint64(concern[i])) * 1099511628211
	}
	return rand.New(rand.NewPCG(seed, h))
}
