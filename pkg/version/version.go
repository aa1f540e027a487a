// Package version names the build that a program belongs to.
package version

import "runtime/debug"

// Release is the release that this tree is working towards.
const Release = "0.1.0"

// revisionLength is how many characters of the commit are shown.
const revisionLength = 12

// String returns the release and, when the build recorded one, the commit.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && len(setting.Value) >= revisionLength {
			return Release + "+" + setting.Value[:revisionLength]
		}
	}
	return Release
}
