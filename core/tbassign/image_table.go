package tbassign

// imageTable assigns indexes to the images of a plan and holds the slopes by index. A plan
// compares each waiting step with each worker. Without indexes, looking up the names of the images
// would take most of the plan's time.
type imageTable struct {
	learner       *Learner
	severityCache *severityCache
	// longRunningIndexes assigns the indexes of the long-running images. All plans of a leader
	// share these indexes, because the cached workloads contain them.
	longRunningIndexes *interner
	bestEffortIndexes  interner
	// learnedImageCount is the number of best-effort images for which the learner has slopes. These
	// images have the lowest indexes.
	learnedImageCount int
	// slopesByPair is indexed by long-running image and then by best-effort image.
	// severitiesByImage is indexed by long-running image.
	slopesByPair      [][]float64
	severitiesByImage []severities
}

// interner assigns indexes to names, from 0 in the order in which intern first gets them.
type interner struct {
	indexByName map[string]int
	names       []string
}

// intern returns the index of a name and whether it is new.
func (n *interner) intern(name string) (int, bool) {
	if i, ok := n.indexByName[name]; ok {
		return i, false
	}
	i := len(n.names)
	n.indexByName[name] = i
	n.names = append(n.names, name)
	return i, true
}

func newImageTable(l *Learner) *imageTable {
	t := &imageTable{
		learner: l, severityCache: newSeverityCache(l),
		longRunningIndexes: &l.workloads.longRunningIndexes, bestEffortIndexes: interner{indexByName: map[string]int{}},
	}
	for _, image := range t.severityCache.bestEffortImages {
		t.internBestEffort(image)
	}
	t.learnedImageCount = len(t.bestEffortIndexes.names)
	return t
}

// internBestEffort returns the index of a best-effort image and adds the image to the table if
// it is new.
func (t *imageTable) internBestEffort(image string) int {
	i, added := t.bestEffortIndexes.intern(image)
	if added {
		for longRunning := range t.slopesByPair {
			t.slopesByPair[longRunning] = append(t.slopesByPair[longRunning], t.learner.slope(t.longRunningIndexes.names[longRunning], image))
		}
	}
	return i
}

// internLongRunning returns the index of a long-running image and adds the image to the table
// if it is new.
func (t *imageTable) internLongRunning(image string) int {
	i, _ := t.longRunningIndexes.intern(image)
	t.addMissingLongRunning()
	return i
}

// addMissingLongRunning adds the slopes and severities of the long-running images that the table
// lacks. Such images were interned by the workload cache or by internLongRunning.
func (t *imageTable) addMissingLongRunning() {
	for _, image := range t.longRunningIndexes.names[len(t.slopesByPair):] {
		slopes := make([]float64, len(t.bestEffortIndexes.names))
		for bestEffort, name := range t.bestEffortIndexes.names {
			slopes[bestEffort] = t.learner.slope(image, name)
		}
		t.slopesByPair = append(t.slopesByPair, slopes)
		t.severitiesByImage = append(t.severitiesByImage, t.severityCache.severitiesOf(image))
	}
}
