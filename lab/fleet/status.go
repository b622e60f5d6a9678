package fleet

import "encoding/json"

// countChain reads from a control process's status how many members the chain has that it knows and has confirmed.
func countChain(body string) int {
	var status struct {
		Chain         []string
		ViewConfirmed string
	}
	if json.Unmarshal([]byte(body), &status) != nil || status.ViewConfirmed == "never" {
		return 0
	}
	return len(status.Chain)
}
