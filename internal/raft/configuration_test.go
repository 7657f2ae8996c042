package raft

import (
	"slices"
	"testing"
)

func TestJointQuorumNeedsBothMajorities(t *testing.T) {
	joint := configuration{
		voters:   []Member{testMember("a"), testMember("d"), testMember("e")},
		outgoing: []Member{testMember("a"), testMember("b"), testMember("c")},
	}
	for _, test := range []struct {
		members string
		want    bool
	}{{"ad", false}, {"ab", false}, {"bcd", false}, {"abd", true}, {"bcde", true}, {"ade", false}, {"abcde", true}} {
		has := func(disk string) bool { return slices.Contains([]byte(test.members), disk[0]) }
		if joint.hasQuorum(has) != test.want {
			t.Errorf("%s: quorum %v", test.members, !test.want)
		}
		if reached := joint.quorumValue(func(disk string) uint64 {
			if has(disk) {
				return 7
			}
			return 0
		}); (reached == 7) != test.want {
			t.Errorf("%s: quorum value %d", test.members, reached)
		}
	}
}
