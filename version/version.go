// Package version names the version of the programs.
package version

// Version is the version of this source tree.
const Version = "0.1.0"
