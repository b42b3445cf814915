// Package inbound tracks the connections that a server has accepted, so that a daemon that stops closes those on which no request has
// arrived, and no other. http.Server.Shutdown also closes a connection on which a request was just read, and
// http.Server.SetKeepAlivesEnabled all that are between two requests.
package inbound
