package tbassign

// imageTable numbers the images that a plan meets and holds what filling ones do to
// lasting ones: a plan compares each waiting step with each worker, and looking names up
// for each pair would be most of its time.
type imageTable struct {
	learner    *Learner
	colocation *colocation
	// lasting numbers the images of all plans of a leader, since what it keeps from one plan
	// to the next has these numbers.
	lasting *numbering
	filling numbering
	// learned is how many filling images the learner knows; they have the lowest numbers.
	learned int
	// slopes are by lasting and then by filling image, and harms by lasting image.
	slopes [][]float64
	harms  []severities
}

// numbering gives names numbers in the order in which they are first asked for.
type numbering struct {
	numbers map[string]int
	names   []string
}

// of returns the number of a name and whether it is new.
func (n *numbering) of(name string) (int, bool) {
	if i, ok := n.numbers[name]; ok {
		return i, false
	}
	i := len(n.names)
	n.numbers[name] = i
	n.names = append(n.names, name)
	return i, true
}

func newImageTable(l *Learner) *imageTable {
	t := &imageTable{
		learner: l, colocation: newColocation(l),
		lasting: &l.mixes.images, filling: numbering{numbers: map[string]int{}},
	}
	for _, image := range t.colocation.filling {
		t.fillingNumber(image)
	}
	t.learned = len(t.filling.names)
	return t
}

func (t *imageTable) fillingNumber(image string) int {
	i, added := t.filling.of(image)
	if added {
		for lasting := range t.slopes {
			t.slopes[lasting] = append(t.slopes[lasting], t.learner.slope(t.lasting.names[lasting], image))
		}
	}
	return i
}

func (t *imageTable) lastingNumber(image string) int {
	i, _ := t.lasting.of(image)
	t.compareLasting()
	return i
}

// compareLasting adds what the filling images do to the lasting images that are new to the table.
func (t *imageTable) compareLasting() {
	for _, image := range t.lasting.names[len(t.slopes):] {
		slopes := make([]float64, len(t.filling.names))
		for filling, name := range t.filling.names {
			slopes[filling] = t.learner.slope(image, name)
		}
		t.slopes = append(t.slopes, slopes)
		t.harms = append(t.harms, t.colocation.of(image))
	}
}
