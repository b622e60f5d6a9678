package matrix

import (
	"fmt"
	"slices"
)

// Version is that of the JSON form. A field never changes its meaning within a version; fields may be added.
const Version = 1

// File is what a matrix is kept as: all that is needed to play any of its days again.
type File struct {
	Version int               `json:"linenwheel_matrix"`
	Texts   map[string]string `json:"texts"` // of the experiments, by name
	Results []Result          `json:"results"`
}

// NewFile makes a file of results.
func NewFile(texts map[string]string, results []Result) *File { return &File{Version, texts, results} }

// Check tells whether this program can read the file.
func (f *File) Check() error {
	if f.Version != Version {
		return fmt.Errorf("version %d, this program reads version %d", f.Version, Version)
	}
	return nil
}

// Find gives the result of the same cell on the same seeds; nil if the file has none.
func (f *File) Find(r *Result) *Result {
	for i := range f.Results {
		same := func(a, b Run) bool { return a.Seed == b.Seed }
		if x := &f.Results[i]; x.Cell == r.Cell && slices.EqualFunc(x.Runs, r.Runs, same) {
			return x
		}
	}
	return nil
}
