/** Which entries live. */
package org.lavenderstage.core.membership;
