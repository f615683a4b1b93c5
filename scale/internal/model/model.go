// Package model defines the inputs of the load bench: experiments and the sizes of their runs, discovery's
// list of backends, customers and their plans, and the settings of gateways.
package model
