// Command poplarpin is the command-line client of operators and callers.
package main
