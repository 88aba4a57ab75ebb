package tbfleet

import (
	"slices"
	"strings"
)

// setAddress sets the address of a worker and updates the index. The address is empty for a removed
// worker.
func (f *Fleet) setAddress(w *Worker, address string) {
	if w.Address == address {
		return
	}
	if at, ok := searchByID(f.workersByAddress[w.Address], w.ID); ok {
		f.workersByAddress[w.Address] = slices.Delete(f.workersByAddress[w.Address], at, at+1)
		if len(f.workersByAddress[w.Address]) == 0 {
			delete(f.workersByAddress, w.Address)
		}
	}
	w.Address = address
	if address != "" {
		at, _ := searchByID(f.workersByAddress[address], w.ID)
		f.workersByAddress[address] = slices.Insert(f.workersByAddress[address], at, w)
	}
}

// searchByID returns the index of the worker with this ID in a slice sorted by ID, and true. If
// there is none, it returns the index at which the worker would be inserted, and false.
func searchByID(workers []*Worker, id string) (int, bool) {
	return slices.BinarySearchFunc(workers, id, func(w *Worker, id string) int { return strings.Compare(w.ID, id) })
}
