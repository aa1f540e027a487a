package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/member"
)

func testMesh(name string, epoch uint64, now time.Time) *mesh {
	return newMesh(member.Identity{
		Name: name, Domain: "larisa-hall", Epoch: epoch, Addresses: board.Addresses{Mesh: name + ":8090"},
	}, now)
}

func incarnation(m *mesh, name string, now time.Time) uint64 {
	members, _, _ := m.snapshot(now, nil)
	for i := range members.Instances {
		if members.Instances[i].Name == name {
			return members.Instances[i].Incarnation
		}
	}
	return 0
}

// An answer that was composed before a call of the other direction may arrive
// after it: what it says is old.
func TestHeartbeatsThatOvertakeEachOther(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	one, two := testMesh("lar-1", 1, now), testMesh("lar-2", 2, now)
	late := one.compose("lar-2", now)
	one.setGateway(77, false, now)
	one.setRevisions(5, 5, now)
	early := one.compose("lar-2", now)
	is.True(two.receive(&early, now))
	is.Equal(incarnation(two, "lar-1", now), uint64(77))
	is.True(two.receive(&late, now))
	is.Equal(incarnation(two, "lar-1", now), uint64(77))
	is.Equal(len(two.ahead(4, now)), 1) // nor does the revision fall

	// Only what is new travels from here on.
	answer := two.compose("lar-1", now)
	is.True(one.receive(&answer, now))
	is.True(one.compose("lar-2", now).Facts.Identity == nil)
	one.setMark("nurse-1", true)
	again := one.compose("lar-2", now)
	is.Equal(len(again.Facts.Marks), 1)

	// A receiver that was started anew has nothing, and says so.
	anew := testMesh("lar-2", 3, now)
	is.True(anew.receive(&again, now)) // without an identity it is not yet known
	answer = anew.compose("lar-1", now)
	is.True(one.receive(&answer, now))
	whole := one.compose("lar-2", now)
	is.True(whole.Facts.Identity != nil)
	is.True(anew.receive(&whole, now))
	is.Equal(incarnation(anew, "lar-1", now), uint64(77))
}
