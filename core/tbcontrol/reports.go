package tbcontrol

import "hash/crc32"

// reportersAtLeader is how many workers report to the leader itself, which saves a hop.
//
// Each keeps a connection open; a process has about 3,900 descriptors, and the leader
// needs one more for each worker that it looks at.
const reportersAtLeader = 768

// reportsElsewhere chooses the workers that report to other replicas, the same ones at each call.
func reportsElsewhere(id string, workers int) bool {
	return uint64(crc32.ChecksumIEEE([]byte(id)))*uint64(workers)>>32 >= reportersAtLeader
}
