/** Which worker runs a task. */
package org.lavenderstage.core.placement;
