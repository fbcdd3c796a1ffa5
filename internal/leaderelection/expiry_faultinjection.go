//go:build faultinjection

package leaderelection

const ignoreExpiry = true
