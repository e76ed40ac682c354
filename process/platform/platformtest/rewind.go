package platformtest

import (
	"maps"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

// Copy is a copy of the stored objects at one moment.
type Copy struct {
	version int
	objects map[string]wire.Object
}

// Copy returns a copy of the stored objects, to which Rewind can take the store back.
func (o *Objects) Copy() Copy {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Copy{version: o.version, objects: maps.Clone(o.objects)}
}

// Rewind replaces the stored objects by a copy, as a store that comes back from it: the changes since are lost, and
// their revisions are given out again in the next era.
func (o *Objects) Rewind(c Copy) {
	o.mu.Lock()
	defer o.mu.Unlock()
	era := platform.Era(o.version) + 1
	o.version = platform.Version(era, platform.Revision(c.version))
	o.objects = make(map[string]wire.Object, len(c.objects))
	for key, obj := range c.objects {
		obj.Version = platform.Version(era, platform.Revision(obj.Version))
		o.objects[key] = obj
	}
	o.events = nil
	if o.changed != nil {
		close(o.changed)
		o.changed = make(chan struct{})
	}
}

func (o *Objects) era() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return platform.Era(o.version)
}
