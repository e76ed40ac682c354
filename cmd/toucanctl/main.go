// Command toucanctl is the operators' and testers' command.
package main

func main() {}
