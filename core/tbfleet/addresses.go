package tbfleet

import (
	"slices"
	"strings"
)

// readdress notes the address of a worker, which is empty for one that is dropped.
func (f *Fleet) readdress(w *Worker, address string) {
	if w.Address == address {
		return
	}
	if at, ok := findID(f.addressed[w.Address], w.ID); ok {
		f.addressed[w.Address] = slices.Delete(f.addressed[w.Address], at, at+1)
		if len(f.addressed[w.Address]) == 0 {
			delete(f.addressed, w.Address)
		}
	}
	w.Address = address
	if address != "" {
		at, _ := findID(f.addressed[address], w.ID)
		f.addressed[address] = slices.Insert(f.addressed[address], at, w)
	}
}

// findID returns where a worker is, or would be, among workers in order of their ids.
func findID(workers []*Worker, id string) (int, bool) {
	return slices.BinarySearchFunc(workers, id, func(w *Worker, id string) int { return strings.Compare(w.ID, id) })
}
