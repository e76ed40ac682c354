// Command standin runs one stand-in of an outside system as a process of its own.
package main

func main() {}
