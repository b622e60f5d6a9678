package main

import (
	"context"
	"fmt"
)

// check reads both files and prints every fault.
func (s *shell) check(context.Context) error {
	_, _, faults := s.load()
	if len(faults) == 0 {
		fmt.Fprintln(s.out, "linenwheel: the configuration is good")
		return nil
	}
	for _, f := range faults[:len(faults)-1] {
		fmt.Fprintln(s.errs, "linenwheel: configuration:", f)
	}
	return faults[len(faults)-1:]
}
