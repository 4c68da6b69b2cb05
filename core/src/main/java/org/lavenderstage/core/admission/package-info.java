/** Which requests may wait, and in which order they are served. */
package org.lavenderstage.core.admission;
