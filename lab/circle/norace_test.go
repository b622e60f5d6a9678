//go:build !race

package circle

const raced = false
