package platform

import (
	"strconv"

	"go.uber.org/zap"
)

// A store may come back from a copy of itself that is some seconds old. It has then lost the newest changes, and gives
// their revisions out again. The era counts how often that has happened. A version holds both: versions order by era
// first and by revision within an era, so that a version of the lost changes is never taken for a newer one. In a store
// without eras, which never goes back, the era is 0 and a version is a revision.

// revisionBits is the number of bits of a version that hold the revision.
const revisionBits = 40

// Version returns the version for a revision of an era.
func Version(era, revision int) int { return era<<revisionBits | revision }

// Era returns the era of a version.
func Era(version int) int { return version >> revisionBits }

// Revision returns the revision of a version within its era.
func Revision(version int) int { return version & (1<<revisionBits - 1) }

// VersionField returns a log field with a version, as ERA.REVISION or as the revision alone in era 0.
func VersionField(key string, version int) zap.Field {
	if Era(version) == 0 {
		return zap.Int(key, version)
	}
	return zap.String(key, strconv.Itoa(Era(version))+"."+strconv.Itoa(Revision(version)))
}

// CurrentEra returns the newest era that is known of the store; 0 for a store without eras.
func (s Store) CurrentEra() int {
	if s.Era == nil {
		return 0
	}
	return s.Era()
}
