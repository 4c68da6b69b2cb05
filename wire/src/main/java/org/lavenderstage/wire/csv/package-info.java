/** Parsing of a sheet's CSV. */
package org.lavenderstage.wire.csv;
