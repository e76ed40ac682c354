// Command toucanrouted is the daemon of an entry instance.
package main

func main() {}
