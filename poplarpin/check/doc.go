// Package check compares recorded answers with what the stand-in targets hold, to find mixed, crossed, doubled or dishonest ones.
package check
