/** The fake log. */
package org.lavenderstage.standin.log;
