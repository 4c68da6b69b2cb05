/** The load tool against running entries. */
package org.lavenderstage.bench.load;
