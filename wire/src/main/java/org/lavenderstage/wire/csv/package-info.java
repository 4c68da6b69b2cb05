/** The sheet's CSV. */
package org.lavenderstage.wire.csv;
